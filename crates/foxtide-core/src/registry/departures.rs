//! Upstreams that have announced their leaving, or have left.

use super::{
    Registration,
    UpstreamState, //
};
use crate::ids::UpstreamId;
use crate::time::{
    MonotonicTime,
    WallTime, //
};
use std::collections::HashMap;
use std::time::Duration;

/// How long a departure is remembered, and for how long an upstream gets nothing that an
/// older copy of the store shows as ready. The copy is some seconds old, and an upstream
/// that does live and is ready loses a minute's requests at most; one that has left would
/// fail each of them.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug)]
struct Departure {
    born_at: Option<WallTime>,
    since: MonotonicTime,
    /// Whether the store has come back from an older copy since then.
    is_withheld: bool,
}

/// The departures of late, by the upstream's name.
#[derive(Clone, Debug, Default)]
pub(super) struct Departures(HashMap<UpstreamId, Departure>);

impl Departures {
    /// Takes in that an upstream has left.
    pub(super) fn record_departure(&mut self, registration: &Registration, now: MonotonicTime) {
        let departure = Departure {
            born_at: registration.born_at,
            since: now,
            is_withheld: self.is_withheld(registration, now),
        };
        self.0.insert(registration.upstream.clone(), departure);
    }

    /// Takes in that an upstream is registered: one that has started anew, or that comes
    /// back by itself, has not left.
    pub(super) fn record_return(&mut self, registration: &Registration) {
        let departure = self.0.get(&registration.upstream);
        let has_returned = departure.is_some_and(|departure| {
            !departure.is_withheld || departure.born_at != registration.born_at
        });
        if has_returned {
            self.0.remove(&registration.upstream);
        }
    }

    /// Keeps those that have left, and `leaving`, from requests: the store has come back
    /// from an older copy, which may show them as ready.
    pub(super) fn withhold<'a>(
        &mut self,
        leaving: impl Iterator<Item = &'a Registration>,
        now: MonotonicTime,
    ) {
        for registration in leaving {
            self.record_departure(registration, now);
        }
        for departure in self.0.values_mut() {
            departure.is_withheld = true;
            departure.since = now;
        }
    }

    /// Tells whether a registration is of an incarnation that an older copy of the store
    /// brought back.
    pub(super) fn is_withheld(&self, registration: &Registration, now: MonotonicTime) -> bool {
        let departure = self.0.get(&registration.upstream);
        departure.is_some_and(|departure| {
            departure.is_withheld
                && departure.born_at == registration.born_at
                && now - departure.since < DEPARTURE_RETENTION
                && registration.state == UpstreamState::Ready
        })
    }

    /// Forgets what is long past.
    pub(super) fn prune(&mut self, now: MonotonicTime) {
        self.0
            .retain(|_, departure| now - departure.since < DEPARTURE_RETENTION);
    }
}
