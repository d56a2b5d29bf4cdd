//! Joining the fleet, and exchanging all that is known with one peer.

use crate::errors::{
    Error,
    Result, //
};
use crate::shared::{
    Shared,
    State,
    apply_outputs, //
};
use crate::wire::{
    Snapshot,
    read_member,
    request,
    response, //
};
use crate::{
    documents,
    load,
    streams, //
};
use foxtide_core::membership::Announcement;
use futures_util::future::join_all;
use rand::seq::{
    IteratorRandom,
    SliceRandom, //
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Shortest time between two exchanges with the same peer.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Wait between two attempts to find the fleet.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Wait between two attempts to reach a seed that is no member.
const UNKNOWN_SEED_INTERVAL: Duration = Duration::from_secs(5);

/// Wait between two looks at whether all documents have arrived.
const FETCH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Senders that are no members of which packet numbers are kept.
const NON_MEMBER_SENDERS_MAX: usize = 64;

/// Seeds tried at once.
const SEED_BATCH_SIZE: usize = 8;

/// How far an instance has come in taking over what its peers know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Synchronisation {
    /// It is still asking.
    Joining,
    /// No peer answered; only the store can tell the configuration.
    NoPeers,
    /// It holds the newest that so many peers know.
    WithPeers(usize),
}

/// Joins the fleet, and keeps looking for parts of it that are not known.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        let peers = exchange_with_seeds(&shared).await;
        if peers > 0 || has_peers(&shared) {
            wait_for_fetches(&shared, peers).await;
            break;
        }
        shared.state.lock().synchronisation = Synchronisation::NoPeers;
        smol::Timer::after(JOIN_RETRY_INTERVAL).await;
    }
    loop {
        smol::Timer::after(UNKNOWN_SEED_INTERVAL).await;
        if let Some(seed) = unknown_seed(&shared) {
            start_exchange(&shared, seed);
        }
    }
}

/// Exchanges with as many seeds as are wanted; returns how many answered.
async fn exchange_with_seeds(shared: &Arc<Shared>) -> usize {
    let seeds = shuffled_seeds(shared);
    let mut answered = 0;
    for batch in seeds.chunks(SEED_BATCH_SIZE) {
        let exchanges = batch.iter().map(|seed| exchange(shared, *seed));
        let results = join_all(exchanges).await;
        answered += results.iter().filter(|result| result.is_ok()).count();
        if answered >= shared.options.join_peers {
            break;
        }
    }
    answered
}

fn shuffled_seeds(shared: &Shared) -> Vec<SocketAddr> {
    let mut state = shared.state.lock();
    let mut seeds: Vec<_> = state.seeds.iter().copied().collect();
    seeds.retain(|seed| *seed != shared.address);
    seeds.shuffle(&mut state.rng);
    seeds
}

fn has_peers(shared: &Shared) -> bool {
    shared.state.lock().membership.members().count() > 1
}

/// Waits until every document that peers announced is held.
async fn wait_for_fetches(shared: &Arc<Shared>, peers: usize) {
    while !shared.state.lock().fetches.is_empty() {
        smol::Timer::after(FETCH_POLL_INTERVAL).await;
    }
    shared.state.lock().synchronisation = Synchronisation::WithPeers(peers.max(1));
}

/// Returns a seed that is the address of no member.
fn unknown_seed(shared: &Shared) -> Option<SocketAddr> {
    let mut state = shared.state.lock();
    let State {
        membership,
        seeds,
        rng,
        ..
    } = &mut *state;
    let is_known = |seed: &SocketAddr| {
        let mut known = membership.members();
        known.any(|member| member.peer_address == *seed)
    };
    let unknown = seeds.iter().copied().filter(|seed| !is_known(seed));
    unknown.choose(rng)
}

/// Starts an exchange with a peer, unless there was one just now.
pub(crate) fn start_exchange(shared: &Arc<Shared>, peer: SocketAddr) {
    let now = shared.now();
    let mut state = shared.state.lock();
    let last = state.exchanged_at.get(&peer);
    if last.is_some_and(|last| now - *last < EXCHANGE_INTERVAL) {
        return;
    }
    state.exchanged_at.insert(peer, now);
    drop(state);
    let shared = shared.clone();
    smol::spawn(async move {
        if let Err(error) = exchange(&shared, peer).await {
            log::debug!("{error}");
        }
    })
    .detach();
}

/// Exchanges all that is known with a peer.
async fn exchange(shared: &Arc<Shared>, peer: SocketAddr) -> Result<()> {
    let ours = snapshot(shared);
    let timeout = shared.options.exchange_timeout;
    let request = request::Body::Synchronise(ours);
    match streams::send_request(shared, peer, request, timeout).await? {
        response::Body::Synchronise(theirs) => {
            merge(shared, &theirs, Some(peer));
            Ok(())
        }
        _ => Err(Error::invalid_response(peer, "not a snapshot")),
    }
}

/// Answers a peer that wants to exchange all that is known.
pub(crate) fn handle_synchronise(
    shared: &Arc<Shared>,
    sender: &str,
    theirs: &Snapshot,
) -> Option<response::Body> {
    let ours = snapshot(shared);
    merge(shared, theirs, address_in(theirs, sender));
    Some(response::Body::Synchronise(ours))
}

/// Returns where the sender of a snapshot says that it listens.
fn address_in(snapshot: &Snapshot, sender: &str) -> Option<SocketAddr> {
    let mut members = snapshot.members.iter();
    let own = members.find(|member| member.instance == sender)?;
    Some(read_member(own).ok()?.peer_address)
}

fn snapshot(shared: &Shared) -> Snapshot {
    let load = load::snapshot(shared);
    let state = shared.state.lock();
    let revisions = state.configurations.revisions();
    Snapshot {
        members: state.membership.members().map(Into::into).collect(),
        announcements: revisions.iter().map(Into::into).collect(),
        load: Some(load),
    }
}

/// Takes in what a peer knows; its documents only where it can be asked for
/// them at a known address.
fn merge(shared: &Arc<Shared>, theirs: &Snapshot, peer: Option<SocketAddr>) {
    // A member that cannot be read does not spoil the rest.
    let members = theirs.members.iter();
    let members: Vec<_> = members
        .filter_map(|member| read_member(member).ok())
        .collect();
    let now = shared.now();
    let outputs = shared.state.lock().membership.merge(members, now);
    apply_outputs(shared, outputs);
    if let Some(theirs) = &theirs.load {
        load::merge(shared, theirs);
    }
    let Some(peer) = peer else {
        return;
    };
    for announcement in &theirs.announcements {
        if let Ok(announcement) = Announcement::try_from(announcement) {
            documents::handle_announcement(shared, &announcement, peer);
        }
    }
}

/// Forgets what is kept of peers that are gone.
pub(crate) fn prune(shared: &Shared) {
    let now = shared.now();
    let mut state = shared.state.lock();
    state
        .exchanged_at
        .retain(|_, last| now - *last < EXCHANGE_INTERVAL);
    let State {
        membership,
        validator,
        ..
    } = &mut *state;
    if validator.sender_count() > NON_MEMBER_SENDERS_MAX + 2 * membership.members().count() {
        validator.retain(|sender| {
            let sender = sender.parse().ok();
            sender.is_some_and(|sender| membership.member(&sender).is_some())
        });
    }
}
