//! Which documents are to be fetched, and from whom.
//!
//! A revision is announced by several peers but fetched from one; another one
//! is asked when that fails.

use crate::ids::OrganisationId;
use crate::membership::Announcement;
use crate::time::MonotonicTime;
use crate::units::Revision;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of fetching.
#[derive(Clone, Copy, Debug)]
pub struct FetchOptions {
    /// Wait after a failure for another announcement. Default 100 ms.
    pub retry_after: Duration,
    /// How often each source is asked; after that the document is pending again
    /// when a peer announces it or compares digests. Default 3.
    pub attempts_per_source: usize,
    /// Sources remembered of one revision. Default 8.
    pub sources_max: usize,
}

impl Default for FetchOptions {
    fn default() -> Self {
        Self {
            retry_after: Duration::from_millis(100),
            attempts_per_source: 3,
            sources_max: 8,
        }
    }
}

/// A document to fetch now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// What is pending, or a newer revision of it.
    pub announcement: Announcement,
    /// Where to ask.
    pub from: SocketAddr,
}

/// What is pending of one organisation.
#[derive(Clone, Debug)]
struct PendingFetch {
    revision: Revision,
    sources: Vec<SocketAddr>,
    next: usize,
    in_flight: bool,
    retry_at: MonotonicTime,
}

/// The documents that are pending and not yet held.
#[derive(Clone, Debug, Default)]
pub struct FetchQueue {
    options: FetchOptions,
    pending: BTreeMap<OrganisationId, PendingFetch>,
}

impl FetchQueue {
    /// Notes that `by` holds a revision that is pending.
    pub fn add_source(&mut self, announcement: &Announcement, by: SocketAddr) {
        let fresh = || PendingFetch {
            revision: announcement.revision,
            sources: Vec::new(),
            next: 0,
            in_flight: false,
            retry_at: MonotonicTime::ZERO,
        };
        let organisation = announcement.organisation.clone();
        let pending = self.pending.entry(organisation).or_insert_with(fresh);
        if announcement.revision < pending.revision {
            return;
        }
        if announcement.revision > pending.revision {
            *pending = fresh();
        }
        let known = pending.sources.contains(&by);
        if !known && pending.sources.len() < self.options.sources_max {
            pending.sources.push(by);
        }
    }

    /// Returns the fetches to start now.
    pub fn start_due(&mut self, now: MonotonicTime) -> Vec<Fetch> {
        let mut due = Vec::new();
        for (organisation, pending) in &mut self.pending {
            if pending.in_flight || now < pending.retry_at || pending.sources.is_empty() {
                continue;
            }
            let index = pending.next % pending.sources.len();
            pending.next += 1;
            pending.in_flight = true;
            due.push(Fetch {
                announcement: Announcement {
                    organisation: organisation.clone(),
                    revision: pending.revision,
                },
                from: pending.sources[index],
            });
        }
        due
    }

    /// Notes that a fetch failed.
    pub fn mark_failed(&mut self, fetch: &Fetch, now: MonotonicTime) {
        let organisation = &fetch.announcement.organisation;
        let Some(pending) = self.pending.get_mut(organisation) else {
            return;
        };
        if pending.revision != fetch.announcement.revision {
            return;
        }
        pending.in_flight = false;
        pending.retry_at = now + self.options.retry_after;
        if pending.next >= pending.sources.len() * self.options.attempts_per_source {
            self.pending.remove(organisation);
        }
    }

    /// Notes that a revision is held, wherever it came from.
    pub fn mark_held(&mut self, announcement: &Announcement) {
        let pending = self.pending.get(&announcement.organisation);
        if pending.is_some_and(|pending| pending.revision <= announcement.revision) {
            self.pending.remove(&announcement.organisation);
        }
    }

    /// Returns whether nothing is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
