//! Finds the requests that end their upstreams, with the other instances, and holds them
//! back.
//!
//! Locks: of those of [`Poison`] none is taken while another or the state is held.

use crate::datagram::{
    BlameMessage,
    Datagram,
    HoldMessage, //
};
use crate::dialect::Dialect;
use crate::journal::beliefs;
use crate::shared::Shared;
use foxtide_core::poison::{
    Blame,
    EndWatch,
    Fingerprint,
    HeldRequests,
    Suspects, //
};
use foxtide_core::registry::Registration;
use foxtide_core::time::MonotonicTime;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// For how long an instance tells of a request that it has blamed when it is served.
const BLAMED_TIME: Duration = Duration::from_secs(60);

/// The most requests that it remembers for that.
const BLAMED_MAX: usize = 1_024;

/// The most blames that an instance tells in a second: a request that ends its upstreams
/// needs three, and all those that are under way when a zone is lost need none.
const BLAMES_PER_S: u32 = 20;

/// What an instance knows of requests that end their upstreams.
#[derive(Debug, Default)]
pub(crate) struct Poison {
    ends: Mutex<EndWatch>,
    suspects: Mutex<Suspects>,
    held: Mutex<HeldRequests>,
    /// The requests that this instance has blamed, and until when.
    blamed: Mutex<HashMap<Fingerprint, MonotonicTime>>,
    /// The second of the last blame, and how many were told in it.
    told: Mutex<(u64, u32)>,
}

impl Poison {
    /// Returns for how long a request is still held back, where it is.
    pub(crate) fn held_for(
        &self,
        fingerprint: Fingerprint,
        now: MonotonicTime,
    ) -> Option<Duration> {
        self.held.lock().time_left(fingerprint, now)
    }

    /// Forgets what is past.
    pub(crate) fn prune(&self, now: MonotonicTime) {
        self.ends.lock().prune(now);
        self.suspects.lock().prune(now);
        for fingerprint in self.held.lock().prune(now) {
            beliefs::hold_ended(fingerprint);
        }
        self.blamed.lock().retain(|_, &mut until| now < until);
    }

    fn hold(&self, fingerprint: Fingerprint, time: Duration, now: MonotonicTime) {
        self.held
            .lock()
            .hold(fingerprint, time, fastrand::f64(), now);
    }

    /// Tells whether a blame may be told now.
    fn may_tell(&self, now: MonotonicTime) -> bool {
        let second = now.as_ms() / 1_000;
        let mut told = self.told.lock();
        if told.0 != second {
            *told = (second, 0);
        }
        told.1 += 1;
        told.1 <= BLAMES_PER_S
    }

    fn note_blamed(&self, fingerprint: Fingerprint, now: MonotonicTime) {
        let mut blamed = self.blamed.lock();
        if blamed.len() < BLAMED_MAX {
            blamed.insert(fingerprint, now + BLAMED_TIME);
        }
    }
}

/// Takes in that an upstream has ended while it worked on a request, beside which this
/// instance had others there: `under_way`, that one among them.
pub(crate) fn upstream_ended<D: Dialect>(
    shared: &Shared<D>,
    fingerprint: Fingerprint,
    registration: &Registration,
    under_way: u32,
) {
    let now = shared.clock.now();
    let poison = &shared.poison;
    let upstream = &registration.upstream;
    let likelihood = {
        let mut ends = poison.ends.lock();
        ends.likelihood(fingerprint, upstream, under_way, now)
    };
    let blame = Blame {
        fingerprint,
        upstream: upstream.clone(),
        born_at: registration.born_at,
        likelihood,
    };
    let is_told = poison.may_tell(now);
    beliefs::upstream_ended(&blame, under_way, is_told);
    if !is_told {
        return;
    }
    poison.note_blamed(fingerprint, now);
    let number = shared.admission.number();
    let datagram = Datagram::blame(number, &blame);
    tell_judges(shared, fingerprint, &datagram, || judge(shared, &blame));
}

/// Takes in that a request was served: where this instance has blamed it, it is not the
/// one.
pub(crate) fn served<D: Dialect>(shared: &Shared<D>, fingerprint: Fingerprint) {
    let was_blamed = shared.poison.blamed.lock().remove(&fingerprint).is_some();
    if !was_blamed {
        return;
    }
    let number = shared.admission.number();
    let datagram = Datagram::cleared(number, fingerprint);
    tell_judges(shared, fingerprint, &datagram, || {
        shared.poison.suspects.lock().clear(fingerprint);
    });
}

/// Takes in what another instance tells of an upstream's end.
pub(crate) fn take_in_blame<D: Dialect>(
    shared: &Shared<D>,
    from: SocketAddr,
    message: &BlameMessage,
) {
    match message.blame() {
        Ok(blame) => judge(shared, &blame),
        Err(error) => log::debug!("what {from} tells of an upstream is wrong: {error}"),
    }
}

/// Takes in that another instance has had a request served that it had blamed.
pub(crate) fn take_in_cleared<D: Dialect>(shared: &Shared<D>, hash: u64) {
    let fingerprint = Fingerprint::from_hash(hash);
    shared.poison.suspects.lock().clear(fingerprint);
}

/// Takes in that a request is to be held back.
pub(crate) fn take_in_hold<D: Dialect>(
    shared: &Shared<D>,
    from: SocketAddr,
    message: &HoldMessage,
) {
    let now = shared.clock.now();
    let fingerprint = message.fingerprint();
    beliefs::hold_learnt(fingerprint, &from, message.time());
    shared.poison.hold(fingerprint, message.time(), now);
}

/// Adds up, and tells the region's instances where a request is to be held back; the judges
/// of the others hear of the same ends.
fn judge<D: Dialect>(shared: &Shared<D>, blame: &Blame) {
    let now = shared.clock.now();
    let (verdict, ends) = {
        let mut suspects = shared.poison.suspects.lock();
        let verdict = suspects.blame(blame, now);
        (verdict, suspects.ends(blame.fingerprint))
    };
    let Some(time) = verdict else {
        return;
    };
    beliefs::request_held_back(blame, ends, time);
    shared.poison.hold(blame.fingerprint, time, now);
    let own = shared.admission.address();
    let region = &shared.options.place.region;
    let neighbours: Vec<SocketAddr> = {
        let state = shared.state.lock();
        let members = state.members().all();
        let of_region = members.filter(|member| member.region == *region);
        let addresses = of_region.map(|member| member.datagram_address);
        addresses.filter(|address| *address != own).collect()
    };
    let number = shared.admission.number();
    let datagram = Datagram::hold(number, blame.fingerprint, time);
    for neighbour in neighbours {
        shared.admission.send(neighbour, &datagram);
    }
}

/// Tells the judges of a request; `take_in` is what this instance does where it is one of
/// them, or where none is known.
fn tell_judges<D: Dialect>(
    shared: &Shared<D>,
    fingerprint: Fingerprint,
    datagram: &Datagram,
    take_in: impl FnOnce(),
) {
    let judges: Vec<SocketAddr> = {
        let state = shared.state.lock();
        let judges = state
            .members()
            .judges(fingerprint, &shared.options.place.region);
        judges.iter().map(|judge| judge.datagram_address).collect()
    };
    let own = shared.admission.address();
    for judge in judges.iter().filter(|judge| **judge != own) {
        shared.admission.send(*judge, datagram);
    }
    if judges.is_empty() || judges.contains(&own) {
        take_in();
    }
}
