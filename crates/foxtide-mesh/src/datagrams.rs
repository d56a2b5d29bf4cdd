//! Receiving datagrams and stepping the protocol.

use crate::shared::{
    Shared,
    carry_out, //
};
use crate::traffic::Rejection;
use crate::wire::datagram::Body;
use crate::wire::{
    Datagram,
    Unreadable,
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

/// Room for a datagram; of a larger one than ours the rest is cut off, so that
/// it cannot be read.
const BUFFER_BYTES: usize = 2_048;

/// Wait after a failed read, so that a broken socket does not spin.
const FAILURE_PAUSE: Duration = Duration::from_millis(20);

/// Receives datagrams for as long as the task lives.
pub(crate) async fn receive(shared: Arc<Shared>) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        match shared.socket.recv_from(&mut buffer).await {
            Ok((size_bytes, from)) => {
                shared.traffic.received_datagram(size_bytes);
                take_in(&shared, from, &buffer[..size_bytes]);
            }
            Err(error) => {
                log::debug!("receive at {}: {error}", shared.address);
                smol::Timer::after(FAILURE_PAUSE).await;
            }
        }
    }
}

fn take_in(shared: &Arc<Shared>, from: SocketAddr, bytes: &[u8]) {
    match admit(shared, bytes) {
        Ok((sender, Content::Load(message))) => load::receive(shared, &sender, message),
        Ok((sender, Content::Packet(packet))) => {
            let now = shared.now();
            let mut state = shared.state.lock();
            let outputs = state.membership.receive(&sender, from, packet, now);
            drop(state);
            carry_out(shared, outputs);
        }
        Err(rejection) => shared.reject(from, rejection),
    }
}

/// What a datagram holds.
enum Content {
    Packet(Packet),
    Load(LoadMessage),
}

/// Reads a datagram and checks that it is to be taken in.
fn admit(shared: &Shared, bytes: &[u8]) -> Result<(InstanceId, Content), Rejection> {
    let datagram = Datagram::decode(bytes).map_err(|_| Rejection::Malformed)?;
    let header = datagram.header.clone().ok_or(Rejection::Malformed)?;
    shared.state.lock().guard.check(&header)?;
    let sender = header.sender.parse().map_err(|_| Rejection::Malformed)?;
    let content = read(datagram).map_err(|_| Rejection::Malformed)?;
    shared.state.lock().guard.check_once(&header)?;
    shared.observe_clock(&header);
    Ok((sender, content))
}

fn read(datagram: Datagram) -> Result<Content, Unreadable> {
    if let Some(Body::Load(load)) = &datagram.body {
        return read_load(load).map(Content::Load);
    }
    read_datagram(datagram).map(Content::Packet)
}

/// Steps the protocol for as long as the task lives.
pub(crate) async fn tick(shared: Arc<Shared>) {
    loop {
        smol::Timer::after(shared.options.tick_interval).await;
        let now = shared.now();
        let outputs = shared.state.lock().membership.tick(now);
        carry_out(&shared, outputs);
        documents::start_fetches(&shared);
        load::tick(&shared);
        join::tidy(&shared);
    }
}
