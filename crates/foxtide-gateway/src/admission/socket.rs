//! The socket for datagrams between instances.

use crate::errors::{
    Error,
    Result,
    Step, //
};
use smol::Async;
use std::net::{
    SocketAddr,
    UdpSocket, //
};

/// Binds the socket; returns it and its address.
///
/// # Errors
///
/// Fails if the address is in use or not local.
pub(super) fn bind(address: SocketAddr) -> Result<(Async<UdpSocket>, SocketAddr)> {
    let step = Step::Bind;
    let failed = |source| Error::Io {
        step,
        peer: address,
        source,
    };
    let socket = Async::<UdpSocket>::bind(address).map_err(failed)?;
    let address = socket.get_ref().local_addr().map_err(failed)?;
    Ok((socket, address))
}
