//! Answers look-ups of callers with the addresses of instances.

mod guide;
mod utilisation;

pub(crate) use guide::Guide;
pub(crate) use utilisation::UtilisationMeter;

use crate::dialect::{
    Dialect,
    Lookup, //
};
use crate::shared::Shared;
use foxtide_core::ids::RegionId;
use foxtide_core::registry::Member;
use std::net::SocketAddr;
use std::time::Duration;

/// The time to live of an answer, which bounds how long callers use a stopping instance.
const LOOKUP_TTL: Duration = Duration::from_secs(2);

/// The maximum number of addresses in an answer.
const ADDRESSES_MAX: usize = 64;

/// Returns the body of the answer; `None` if no instance accepts requests.
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
    let is_ready = shared.is_ready();
    let region = lookup.region.as_ref();
    let region = region.unwrap_or(&shared.options.place.region);
    let members = serving_members(shared, region, is_ready);
    let named = shared.guide.select(region, &members, shared.clock.now());
    for peer in &named.probes {
        shared.admission.send(*peer, &Guide::probe());
    }
    let mut addresses = named.addresses;
    // Until the store lists instances, only this one is known.
    if addresses.is_empty() && is_ready {
        addresses.push(shared.addresses.callers);
    }
    fastrand::shuffle(&mut addresses);
    addresses.truncate(ADDRESSES_MAX);
    addresses
}

/// Returns the instances that could serve the requests of a region's callers.
fn serving_members<D>(shared: &Shared<D>, region: &RegionId, is_ready: bool) -> Vec<Member> {
    let place = &shared.options.place;
    let is_own = |member: &&Member| member.instance == place.instance;
    let state = shared.state.lock();
    let mut members = state.members().nearest(region);
    members.retain(|member| is_ready || !is_own(member));
    // The own record tells of a cut once it has been written and read.
    let reaches_upstreams = |member: &&Member| !is_own(member) && !member.is_cut_off;
    if shared.reach.is_cut_off() && members.iter().any(reaches_upstreams) {
        members.retain(|member| !is_own(member));
    }
    members.into_iter().cloned().collect()
}
