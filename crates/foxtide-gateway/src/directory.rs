//! Answers to callers who ask which instances to use.

use crate::dialect::{
    Dialect,
    Lookup, //
};
use crate::shared::Shared;
use foxtide_core::registry::Member;
use std::net::SocketAddr;
use std::time::Duration;

/// How long an answer is good for. Callers notice by themselves when an
/// instance is gone; this bounds how long they use one that is stopping.
const LOOKUP_TTL: Duration = Duration::from_secs(2);

/// The most addresses of an answer.
const ADDRESSES_MAX: usize = 64;

/// Returns the body of the answer, or nothing where no instance is known that
/// takes requests.
pub(crate) fn answer<D: Dialect>(shared: &Shared<D>, lookup: &Lookup) -> Option<Vec<u8>> {
    let addresses = addresses(shared, lookup);
    if addresses.is_empty() {
        return None;
    }
    let ttl_max = shared.state.lock().bounds().lookup_ttl_max;
    let ttl = LOOKUP_TTL.min(ttl_max);
    Some(shared.dialect.lookup_answer(&addresses, ttl))
}

fn addresses<D: Dialect>(shared: &Shared<D>, lookup: &Lookup) -> Vec<SocketAddr> {
    let place = &shared.options.place;
    let is_ready = shared.is_ready();
    let state = shared.state.lock();
    let region = lookup.region.as_ref().unwrap_or(&place.region);
    let is_own = |member: &&Member| member.instance == place.instance;
    let mut members = state.members().nearest(region);
    members.retain(|member| is_ready || !is_own(member));
    let mut addresses: Vec<SocketAddr> = members
        .into_iter()
        .map(|member| member.caller_address)
        .collect();
    // Until the store names instances, this one is the only one it knows.
    if addresses.is_empty() && is_ready {
        addresses.push(shared.addresses.callers);
    }
    fastrand::shuffle(&mut addresses);
    addresses.truncate(ADDRESSES_MAX);
    addresses
}
