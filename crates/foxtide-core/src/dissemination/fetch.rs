//! Schedules the fetching of announced documents from peers.
//!
//! A revision is fetched from one of the peers that announced it, and from
//! another one after a failure.

use crate::ids::OrganisationId;
use crate::membership::Announcement;
use crate::time::MonotonicTime;
use crate::units::Revision;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Options of [`FetchQueue`].
#[derive(Clone, Copy, Debug)]
pub struct FetchOptions {
    /// The delay between a failure and the next attempt. Default 100 ms.
    pub retry_after: Duration,
    /// The maximum number of attempts per source. After that, the document is
    /// dropped until a peer announces it again. Default 3.
    pub attempts_per_source: usize,
    /// The maximum number of sources of one revision. Default 8.
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

/// A fetch to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// The document; a newer revision is accepted too.
    pub announcement: Announcement,
    /// The address of the peer to fetch from.
    pub from: SocketAddr,
}

/// The pending fetch of one organisation's document.
#[derive(Clone, Debug)]
struct PendingFetch {
    revision: Revision,
    sources: Vec<SocketAddr>,
    next: usize,
    in_flight: bool,
    retry_at: MonotonicTime,
}

/// The queue of documents to fetch.
#[derive(Clone, Debug, Default)]
pub struct FetchQueue {
    options: FetchOptions,
    pending: BTreeMap<OrganisationId, PendingFetch>,
}

impl FetchQueue {
    /// Adds a peer as a source of an announced revision.
    pub fn add_source(&mut self, announcement: &Announcement, by: SocketAddr) {
        let new_fetch = || PendingFetch {
            revision: announcement.revision,
            sources: Vec::new(),
            next: 0,
            in_flight: false,
            retry_at: MonotonicTime::ZERO,
        };
        let organisation = announcement.organisation.clone();
        let pending = self.pending.entry(organisation).or_insert_with(new_fetch);
        if announcement.revision < pending.revision {
            return;
        }
        if announcement.revision > pending.revision {
            *pending = new_fetch();
        }
        let known = pending.sources.contains(&by);
        if !known && pending.sources.len() < self.options.sources_max {
            pending.sources.push(by);
        }
    }

    /// Returns the fetches that are due and marks them as in flight.
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

    /// Marks a fetch as failed and schedules the next attempt.
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

    /// Removes the pending fetch of a revision that is now stored, or of an older one.
    pub fn mark_held(&mut self, announcement: &Announcement) {
        let pending = self.pending.get(&announcement.organisation);
        if pending.is_some_and(|pending| pending.revision <= announcement.revision) {
            self.pending.remove(&announcement.organisation);
        }
    }

    /// Returns whether no fetch is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
