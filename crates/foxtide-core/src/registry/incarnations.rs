//! Tracks which incarnations of upstreams are outdated.

use super::Registration;
use crate::ids::UpstreamId;
use crate::time::{
    MonotonicTime,
    WallTime, //
};
use std::collections::HashMap;
use std::time::Duration;

/// Time for which a discarded incarnation is kept; its registration expires long
/// before.
const DISCARDED_RETENTION: Duration = Duration::from_secs(60);

/// Time for which the start of an unregistered name's newest incarnation is kept; no
/// instance or store reports older ones after that.
const NEWEST_START_RETENTION: Duration = Duration::from_secs(600);

/// Age of an incarnation relative to the newest one of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Age {
    /// It is the newest.
    Newest,
    /// A newer one is known, or it was discarded.
    Outdated,
    /// It lacks a start time that its name has had before: another writer made the
    /// entry.
    Undated,
}

#[derive(Clone, Copy, Debug)]
struct Discarded {
    born_at: Option<WallTime>,
    discarded_at: MonotonicTime,
}

/// Known incarnations, independent of current registrations.
#[derive(Clone, Debug, Default)]
pub(super) struct Incarnations {
    /// Discarded incarnations, which never return.
    discarded: HashMap<UpstreamId, Discarded>,
    /// Start of the newest incarnation of each name and the time at which it was last
    /// registered.
    newest: HashMap<UpstreamId, (WallTime, MonotonicTime)>,
}

impl Incarnations {
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

    pub(super) fn record(&mut self, registration: &Registration, now: MonotonicTime) {
        let upstream = &registration.upstream;
        self.discarded.remove(upstream);
        if let Some(born_at) = registration.born_at {
            self.newest.insert(upstream.clone(), (born_at, now));
        }
    }

    /// Records that an incarnation has ended and cannot return.
    pub(super) fn discard(&mut self, registration: &Registration, now: MonotonicTime) {
        let discarded = Discarded {
            born_at: registration.born_at,
            discarded_at: now,
        };
        self.discarded
            .insert(registration.upstream.clone(), discarded);
    }

    /// Removes old entries of names for which `is_registered` returns false.
    pub(super) fn prune(
        &mut self,
        now: MonotonicTime,
        is_registered: impl Fn(&UpstreamId) -> bool,
    ) {
        self.discarded
            .retain(|_, discarded| now - discarded.discarded_at < DISCARDED_RETENTION);
        self.newest.retain(|upstream, (_, seen_at)| {
            is_registered(upstream) || now - *seen_at < NEWEST_START_RETENTION
        });
    }
}
