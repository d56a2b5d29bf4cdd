//! Which incarnations of upstreams are over.

use super::Registration;
use crate::ids::UpstreamId;
use crate::time::{
    MonotonicTime,
    WallTime, //
};
use std::collections::HashMap;
use std::time::Duration;

/// How long an incarnation that is known to be gone is remembered: its
/// registration lapses long before.
const DISCARDED_RETENTION: Duration = Duration::from_secs(60);

/// How long it is remembered when the newest incarnation of a name started that is no
/// longer registered: no instance or store tells of older ones after that.
const NEWEST_START_RETENTION: Duration = Duration::from_secs(600);

/// An incarnation beside the newest of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Age {
    /// It is the newest, or the same.
    Newest,
    /// A newer one is known, or it is known to be gone.
    Outdated,
    /// It does not tell when it started, although its name has told before: the entry is
    /// not the upstream's own.
    Undated,
}

/// An incarnation that is gone.
#[derive(Clone, Copy, Debug)]
struct Discarded {
    born_at: Option<WallTime>,
    since: MonotonicTime,
}

/// What is remembered of incarnations beyond their registrations.
#[derive(Clone, Debug, Default)]
pub(super) struct Incarnations {
    /// Incarnations that are known to be gone; an incarnation never returns.
    discarded: HashMap<UpstreamId, Discarded>,
    /// When the newest incarnation of each name started, and when it was last told of:
    /// an older one never takes its place, whichever way its registration comes.
    newest: HashMap<UpstreamId, (WallTime, MonotonicTime)>,
}

impl Incarnations {
    /// Tells how old an incarnation is beside the newest of its name.
    pub(super) fn age_of(&self, registration: &Registration) -> Age {
        let upstream = &registration.upstream;
        if let Some((newest, _)) = self.newest.get(upstream) {
            match registration.born_at {
                None => return Age::Undated,
                Some(born_at) if born_at < *newest => return Age::Outdated,
                Some(_) => {}
            }
        }
        let discarded = self.discarded.get(upstream);
        if discarded.is_some_and(|discarded| discarded.born_at == registration.born_at) {
            Age::Outdated
        } else {
            Age::Newest
        }
    }

    /// Takes in that an incarnation is registered.
    pub(super) fn record(&mut self, registration: &Registration, now: MonotonicTime) {
        let upstream = &registration.upstream;
        self.discarded.remove(upstream);
        if let Some(born_at) = registration.born_at {
            self.newest.insert(upstream.clone(), (born_at, now));
        }
    }

    /// Takes in that an incarnation is gone for good.
    pub(super) fn discard(&mut self, registration: &Registration, now: MonotonicTime) {
        let discarded = Discarded {
            born_at: registration.born_at,
            since: now,
        };
        self.discarded
            .insert(registration.upstream.clone(), discarded);
    }

    /// Forgets what no one tells of any more; `is_registered` tells which names are.
    pub(super) fn prune(
        &mut self,
        now: MonotonicTime,
        is_registered: impl Fn(&UpstreamId) -> bool,
    ) {
        self.discarded
            .retain(|_, discarded| now - discarded.since < DISCARDED_RETENTION);
        self.newest.retain(|upstream, (_, seen_at)| {
            is_registered(upstream) || now - *seen_at < NEWEST_START_RETENTION
        });
    }
}
