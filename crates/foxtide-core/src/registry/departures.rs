//! Recent departures of upstreams, which a restored store may not contain.

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

/// Time for which a departure is kept, and for which an upstream gets no requests if an
/// older copy of the store shows it as ready. A live and ready upstream loses at most a
/// minute of requests; one that has left would fail all of them.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug)]
struct Departure {
    born_at: Option<WallTime>,
    recorded_at: MonotonicTime,
    /// Whether the store was restored from an older copy since then.
    is_withheld: bool,
}

/// Recent departures by upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct Departures(HashMap<UpstreamId, Departure>);

impl Departures {
    pub(super) fn record_departure(&mut self, registration: &Registration, now: MonotonicTime) {
        let departure = Departure {
            born_at: registration.born_at,
            recorded_at: now,
            is_withheld: self.is_withheld(registration, now),
        };
        self.0.insert(registration.upstream.clone(), departure);
    }

    /// Removes the departure of a registered upstream that restarted or returned.
    pub(super) fn record_return(&mut self, registration: &Registration) {
        let departure = self.0.get(&registration.upstream);
        let has_returned = departure.is_some_and(|departure| {
            !departure.is_withheld || departure.born_at != registration.born_at
        });
        if has_returned {
            self.0.remove(&registration.upstream);
        }
    }

    /// Withholds requests from `leaving` and from all upstreams that have left, after
    /// the store was restored from an older copy that may show them as ready.
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
            departure.recorded_at = now;
        }
    }

    /// Returns whether a registration is a departed incarnation that an older copy of
    /// the store brought back.
    pub(super) fn is_withheld(&self, registration: &Registration, now: MonotonicTime) -> bool {
        let departure = self.0.get(&registration.upstream);
        departure.is_some_and(|departure| {
            departure.is_withheld
                && departure.born_at == registration.born_at
                && now - departure.recorded_at < DEPARTURE_RETENTION
                && registration.state == UpstreamState::Ready
        })
    }

    pub(super) fn prune(&mut self, now: MonotonicTime) {
        self.0
            .retain(|_, departure| now - departure.recorded_at < DEPARTURE_RETENTION);
    }
}
