//! Joins the fleet and synchronises full state with single peers.

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

/// Minimum time between two exchanges with the same peer.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Delay between attempts to join while no peer responds.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between attempts to reach a seed that is no known member.
const UNKNOWN_SEED_INTERVAL: Duration = Duration::from_secs(5);

/// Polling interval while fetches are in progress.
const FETCH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Allowance for replay windows of senders that are no members.
const NON_MEMBER_SENDERS_MAX: usize = 64;

/// Number of seeds contacted concurrently.
const SEED_BATCH_SIZE: usize = 8;

/// Progress of synchronising with peers after the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Synchronisation {
    /// The first exchange with peers is in progress.
    Joining,
    /// No peer responded; the configuration can only come from the store.
    NoPeers,
    /// The state of this many peers has been merged.
    WithPeers(usize),
}

/// Joins the fleet, then keeps contacting seeds that are no known members, so
/// that separated parts of the fleet merge.
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

/// Exchanges state with seeds until `join_peers` of them have responded; returns
/// how many did.
async fn exchange_with_seeds(shared: &Arc<Shared>) -> usize {
    let seeds = shuffled_seeds(shared);
    let mut responses = 0;
    for batch in seeds.chunks(SEED_BATCH_SIZE) {
        let exchanges = batch.iter().map(|seed| exchange(shared, *seed));
        let results = join_all(exchanges).await;
        responses += results.iter().filter(|result| result.is_ok()).count();
        if responses >= shared.options.join_peers {
            break;
        }
    }
    responses
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

/// Waits until every announced document has been fetched.
async fn wait_for_fetches(shared: &Arc<Shared>, peers: usize) {
    while !shared.state.lock().fetches.is_empty() {
        smol::Timer::after(FETCH_POLL_INTERVAL).await;
    }
    shared.state.lock().synchronisation = Synchronisation::WithPeers(peers.max(1));
}

/// Returns a random seed that is not the address of a known member.
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

/// Starts an exchange with a peer, unless one started within [`EXCHANGE_INTERVAL`].
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
            log::debug!("state exchange failed: {error}");
        }
    })
    .detach();
}

/// Exchanges full state with a peer.
async fn exchange(shared: &Arc<Shared>, peer: SocketAddr) -> Result<()> {
    let local = snapshot(shared);
    let timeout = shared.options.exchange_timeout;
    let request = request::Body::Synchronise(local);
    match streams::send_request(shared, peer, request, timeout).await? {
        response::Body::Synchronise(remote) => {
            merge(shared, &remote, Some(peer));
            Ok(())
        }
        _ => Err(Error::invalid(peer, "not a snapshot")),
    }
}

/// Merges a peer's snapshot and returns that of this instance.
pub(crate) fn handle_synchronise(
    shared: &Arc<Shared>,
    sender: &str,
    remote: &Snapshot,
) -> Option<response::Body> {
    let local = snapshot(shared);
    merge(shared, remote, address_in(remote, sender));
    Some(response::Body::Synchronise(local))
}

/// Returns the peer address that the sender of a snapshot lists for itself.
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

/// Merges a peer's snapshot; documents are fetched only if its address is known.
fn merge(shared: &Arc<Shared>, remote: &Snapshot, peer: Option<SocketAddr>) {
    // A member that cannot be decoded does not invalidate the snapshot.
    let members = remote.members.iter();
    let members: Vec<_> = members
        .filter_map(|member| read_member(member).ok())
        .collect();
    let now = shared.now();
    let outputs = shared.state.lock().membership.merge(members, now);
    apply_outputs(shared, outputs);
    if let Some(remote) = &remote.load {
        load::merge(shared, remote);
    }
    let Some(peer) = peer else {
        return;
    };
    for announcement in &remote.announcements {
        if let Ok(announcement) = Announcement::try_from(announcement) {
            documents::fetch_if_newer(shared, &announcement, peer);
        }
    }
}

/// Removes expired exchange times and the replay windows of non-members.
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
