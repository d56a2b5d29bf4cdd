//! Receives datagrams and advances the protocol timers.

use crate::shared::{
    Shared,
    apply_outputs, //
};
use crate::traffic::Rejection;
use crate::wire::datagram::Body;
use crate::wire::{
    Datagram,
    InvalidMessage,
    read_datagram,
    read_load, //
};
use crate::{
    documents,
    join,
    load, //
};
use foxtide_core::dissemination::LoadMessage;
use foxtide_core::ids::InstanceId;
use foxtide_core::membership::Packet;
use prost::Message as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Larger than any valid datagram; a longer one is truncated and fails to decode.
const RECEIVE_BUFFER_BYTES: usize = 2_048;

/// Delay after a failed read, to avoid a busy loop on a broken socket.
const ERROR_BACKOFF: Duration = Duration::from_millis(20);

/// Receives datagrams until the task is cancelled.
pub(crate) async fn receive(shared: Arc<Shared>) {
    let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
    loop {
        match shared.socket.recv_from(&mut buffer).await {
            Ok((size_bytes, from)) => {
                shared.traffic.received_datagram(size_bytes);
                handle_datagram(&shared, from, &buffer[..size_bytes]);
            }
            Err(error) => {
                log::debug!("receive failed on {}: {error}", shared.address);
                smol::Timer::after(ERROR_BACKOFF).await;
            }
        }
    }
}

fn handle_datagram(shared: &Arc<Shared>, from: SocketAddr, bytes: &[u8]) {
    match decode_datagram(shared, bytes) {
        Ok((sender, Content::Load(message))) => load::receive(shared, &sender, message),
        Ok((sender, Content::Packet(packet))) => {
            let now = shared.now();
            let mut state = shared.state.lock();
            let outputs = state.membership.receive(&sender, from, packet, now);
            drop(state);
            apply_outputs(shared, outputs);
        }
        Err(rejection) => shared.reject(from, rejection),
    }
}

/// The decoded body of a datagram.
enum Content {
    Packet(Packet),
    Load(LoadMessage),
}

/// Decodes a datagram and validates its header.
fn decode_datagram(shared: &Shared, bytes: &[u8]) -> Result<(InstanceId, Content), Rejection> {
    let datagram = Datagram::decode(bytes).map_err(|_| Rejection::Malformed)?;
    let header = datagram.header.clone().ok_or(Rejection::Malformed)?;
    shared.state.lock().validator.check(&header)?;
    let sender = header.sender.parse().map_err(|_| Rejection::Malformed)?;
    let content = read(datagram).map_err(|_| Rejection::Malformed)?;
    shared.state.lock().validator.check_once(&header)?;
    shared.observe_clock(&header);
    Ok((sender, content))
}

fn read(datagram: Datagram) -> Result<Content, InvalidMessage> {
    if let Some(Body::Load(load)) = &datagram.body {
        return read_load(load).map(Content::Load);
    }
    read_datagram(datagram).map(Content::Packet)
}

/// Advances the protocols once per tick until the task is cancelled.
pub(crate) async fn tick(shared: Arc<Shared>) {
    loop {
        smol::Timer::after(shared.options.tick_interval).await;
        let now = shared.now();
        let outputs = shared.state.lock().membership.tick(now);
        apply_outputs(&shared, outputs);
        documents::start_fetches(&shared);
        load::tick(&shared);
        join::prune(&shared);
    }
}
