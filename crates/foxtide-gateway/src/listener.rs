//! Binds listening sockets and accepts connections.

use crate::dialect::Dialect;
use crate::errors::{
    Error,
    Result,
    Step, //
};
use crate::front::serve_connection;
use crate::shared::Shared;
use foxtide_events::{
    EventCode,
    log_event, //
};
use foxtide_http::BufferedStream;
use smol::Async;
use smol::Timer;
use std::net::{
    SocketAddr,
    TcpListener, //
};
use std::sync::Arc;
use std::time::Duration;

/// How long accepting pauses after a failure, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A bound listener.
#[derive(Debug)]
pub(crate) struct Listener {
    socket: Async<TcpListener>,
    address: SocketAddr,
}

impl Listener {
    /// Binds a listener.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use or not local.
    pub(crate) fn bind(peer: SocketAddr) -> Result<Self> {
        let step = Step::Bind;
        let failed = |source| Error::Io { step, peer, source };
        let socket = Async::<TcpListener>::bind(peer).map_err(failed)?;
        let address = socket.get_ref().local_addr().map_err(failed)?;
        Ok(Self { socket, address })
    }

    /// Returns the bound address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Binds the listener for other instances; returns it and its address.
///
/// # Errors
///
/// Fails as [`Listener::bind`] does.
pub(crate) fn bind_peers(address: SocketAddr) -> Result<(smol::net::TcpListener, SocketAddr)> {
    let bound = Listener::bind(address)?;
    Ok((bound.socket.into(), bound.address))
}

/// Accepts connections and spawns a task for each.
pub(crate) async fn accept<D: Dialect>(shared: Arc<Shared<D>>, listener: Listener) {
    loop {
        match listener.socket.accept().await {
            Ok((socket, _)) => {
                let stream = BufferedStream::new(socket);
                let serving = serve_connection(Arc::clone(&shared), stream, listener.address);
                shared.executor.spawn(serving).detach();
            }
            Err(error) => {
                log_event!(EventCode::ListenerFailed, address:% = listener.address, cause:% = error);
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}
