//! Accepts connections and continues after failed accepts.

use super::connection::{
    Connection,
    Handler,
    serve_connection, //
};
use super::state::ListenerState;
use crate::errors::{
    Error,
    Result,
    Step, //
};
use crate::options::Limits;
use foxtide_http::BufferedStream;
use futures_util::FutureExt;
use smol::future::or;
use smol::{
    Async,
    Executor,
    Timer, //
};
use std::io;
use std::net::{
    SocketAddr,
    TcpListener, //
};
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

/// Delay after a failed accept, for example for lack of file descriptors
/// (`EMFILE`).
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Binds a listener.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub(crate) fn bind(address: SocketAddr) -> Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address).map_err(|error| Error::io(Step::Bind, address, error))
}

/// Serves all connections of a listener until its state is closed.
pub(crate) async fn serve_listener<H: Handler>(
    listener: Async<TcpListener>,
    executor: Arc<Executor<'static>>,
    handler: Arc<H>,
    limits: Arc<Limits>,
    state: Arc<ListenerState>,
    on_error: impl Fn(&io::Error) + Send,
) {
    loop {
        let accepted = async { Some(listener.accept().await) };
        let closing = async {
            state.closing().await;
            None
        };
        match or(accepted, closing).await {
            None => return,
            Some(Ok((socket, peer))) => {
                let connection = Connection {
                    stream: BufferedStream::new(socket),
                    peer,
                    limits: Arc::clone(&limits),
                    state: Arc::clone(&state),
                };
                spawn_connection(&executor, connection, Arc::clone(&handler));
            }
            Some(Err(error)) => {
                on_error(&error);
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn spawn_connection<H: Handler>(
    executor: &Executor<'static>,
    connection: Connection,
    handler: Arc<H>,
) {
    // Above the limit the connection is closed without reading from it.
    let Some(guard) = connection
        .state
        .open_connection(connection.limits.connections)
    else {
        return;
    };
    let serve = async move {
        let _guard = guard;
        let serving = AssertUnwindSafe(serve_connection(connection, &*handler));
        // A panic must not end the worker, which runs other connections.
        if serving.catch_unwind().await.is_err() {
            log::error!("connection task panicked; closing the connection");
        }
    };
    executor.spawn(serve).detach();
}
