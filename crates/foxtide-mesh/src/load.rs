//! Sends and receives load records.

use crate::shared::Shared;
use crate::wire::{
    Datagram,
    Load,
    datagram,
    read_load, //
};
use foxtide_core::dissemination::{
    ClockReading,
    LoadEnvelope,
    LoadMessage, //
};
use foxtide_core::ids::InstanceId;
use foxtide_core::membership::DATAGRAM_MAX_BYTES;
use foxtide_core::time::WallTime;
use prost::Message as _;
use std::net::SocketAddr;
use std::time::{
    Duration,
    SystemTime,
    UNIX_EPOCH, //
};

pub(crate) fn wall_now() -> WallTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    WallTime::ZERO + since.unwrap_or(Duration::ZERO)
}

/// Returns the current time on both clocks.
pub(crate) fn moment(shared: &Shared) -> ClockReading {
    ClockReading {
        monotonic: shared.now(),
        wall: wall_now(),
    }
}

/// Sends the load messages that are due.
pub(crate) fn tick(shared: &Shared) {
    let mut guard = shared.state.lock();
    let state = &mut *guard;
    let version = state.membership.members_version();
    let now = wall_now();
    let members = state.membership.members();
    state.load.observe(members, version, now);
    let sends = state.load.tick(now);
    drop(guard);
    send_all(shared, sends);
}

/// Merges the load records of a peer and sends the resulting messages.
pub(crate) fn receive(shared: &Shared, sender: &InstanceId, message: LoadMessage) {
    let now = wall_now();
    let sends = shared.state.lock().load.receive(sender, message, now);
    send_all(shared, sends);
}

/// Returns the table of all regions, for a snapshot.
pub(crate) fn snapshot(shared: &Shared) -> Load {
    let records = shared.state.lock().load.records().cloned().collect();
    Load::from(&LoadMessage::Table(records))
}

/// Merges the load table of a peer's snapshot.
pub(crate) fn merge(shared: &Shared, load: &Load) {
    if let Ok(LoadMessage::Table(records)) = read_load(load) {
        shared.state.lock().load.merge_newer(records, wall_now());
    }
}

fn send_all(shared: &Shared, sends: Vec<LoadEnvelope>) {
    for LoadEnvelope { to, message } in sends {
        send(shared, to, message);
    }
}

/// Sends a message, split into as many datagrams as it needs.
fn send(shared: &Shared, to: SocketAddr, message: LoadMessage) {
    let datagram = Datagram {
        header: Some(shared.header()),
        body: Some(datagram::Body::Load((&message).into())),
        ..Datagram::default()
    };
    if datagram.encoded_len() <= DATAGRAM_MAX_BYTES {
        shared.send(to, &datagram);
        return;
    }
    let (mut records, wrap): (_, fn(_) -> _) = match message {
        LoadMessage::Sum(records) => (records, LoadMessage::Sum),
        LoadMessage::Table(records) => (records, LoadMessage::Table),
    };
    if records.len() <= 1 {
        shared.traffic.unsent_datagram();
        log::warn!(
            "load record of {} bytes exceeds the datagram limit; not sent",
            datagram.encoded_len()
        );
        return;
    }
    let rest = records.split_off(records.len() / 2);
    send(shared, to, wrap(records));
    send(shared, to, wrap(rest));
}
