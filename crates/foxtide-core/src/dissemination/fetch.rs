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
    /// How often each source is asked; after that the document is wanted again
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
    /// What is wanted, or a newer revision of it.
    pub announcement: Announcement,
    /// Where to ask.
    pub from: SocketAddr,
}

/// What is wanted of one organisation.
#[derive(Clone, Debug)]
struct Wanted {
    revision: Revision,
    sources: Vec<SocketAddr>,
    next: usize,
    under_way: bool,
    retry_at: MonotonicTime,
}

/// The documents that are wanted and not yet held.
#[derive(Clone, Debug, Default)]
pub struct FetchQueue {
    options: FetchOptions,
    wanted: BTreeMap<OrganisationId, Wanted>,
}

impl FetchQueue {
    /// Notes that `by` holds a revision that is wanted.
    pub fn announced(&mut self, announcement: &Announcement, by: SocketAddr) {
        let fresh = || Wanted {
            revision: announcement.revision,
            sources: Vec::new(),
            next: 0,
            under_way: false,
            retry_at: MonotonicTime::ZERO,
        };
        let organisation = announcement.organisation.clone();
        let wanted = self.wanted.entry(organisation).or_insert_with(fresh);
        if announcement.revision < wanted.revision {
            return;
        }
        if announcement.revision > wanted.revision {
            *wanted = fresh();
        }
        let known = wanted.sources.contains(&by);
        if !known && wanted.sources.len() < self.options.sources_max {
            wanted.sources.push(by);
        }
    }

    /// Returns the fetches to start now.
    pub fn due(&mut self, now: MonotonicTime) -> Vec<Fetch> {
        let mut due = Vec::new();
        for (organisation, wanted) in &mut self.wanted {
            if wanted.under_way || now < wanted.retry_at || wanted.sources.is_empty() {
                continue;
            }
            let place = wanted.next % wanted.sources.len();
            wanted.next += 1;
            wanted.under_way = true;
            due.push(Fetch {
                announcement: Announcement {
                    organisation: organisation.clone(),
                    revision: wanted.revision,
                },
                from: wanted.sources[place],
            });
        }
        due
    }

    /// Notes that a fetch failed.
    pub fn failed(&mut self, fetch: &Fetch, now: MonotonicTime) {
        let organisation = &fetch.announcement.organisation;
        let Some(wanted) = self.wanted.get_mut(organisation) else {
            return;
        };
        if wanted.revision != fetch.announcement.revision {
            return;
        }
        wanted.under_way = false;
        wanted.retry_at = now + self.options.retry_after;
        if wanted.next >= wanted.sources.len() * self.options.attempts_per_source {
            self.wanted.remove(organisation);
        }
    }

    /// Notes that a revision is held, wherever it came from.
    pub fn held(&mut self, announcement: &Announcement) {
        let wanted = self.wanted.get(&announcement.organisation);
        if wanted.is_some_and(|wanted| wanted.revision <= announcement.revision) {
            self.wanted.remove(&announcement.organisation);
        }
    }

    /// Returns whether nothing is wanted.
    pub fn is_empty(&self) -> bool {
        self.wanted.is_empty()
    }
}
