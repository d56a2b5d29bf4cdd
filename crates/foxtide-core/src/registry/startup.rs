//! Decides where a starting instance gets its first copy of the store's contents.
//!
//! Both the contents and the number of instances that start together grow with a deployment. If
//! each instance read the store, the bytes on the store's link would grow with their product, and
//! once that link is full every read times out and is repeated. So a few instances read the store
//! and list themselves as sources, and the others copy from them.

use crate::time::MonotonicTime;
use std::time::Duration;

/// Instances that read the store at once if the list of sources tells the size of the fleet.
const FIRST_READERS: f64 = 8.0;

/// Instances for each listed source, about as many as a watcher has followers.
const INSTANCES_PER_SOURCE: f64 = 16.0;

/// Largest share of the instances that are no sources and read the store at once, for each
/// megabit a second of their links: a reader sends copies to many others.
const READER_SHARE_PER_MBPS: f64 = 1.0 / 2_000.0;

/// Bounds of that share.
const READER_SHARE_MIN: f64 = 1.0 / 256.0;
const READER_SHARE_MAX: f64 = 1.0 / 16.0;

/// Latency of the store up to which that share applies; it falls in proportion to longer ones.
/// Each page takes a round trip, and a store that is overloaded answers late.
const NEAR_LATENCY: Duration = Duration::from_millis(20);

/// Time in which the number of readers doubles while no source has a copy. A read of a large
/// store takes longer than its round trips, so the number may not grow faster than reads end.
const DOUBLING_TIME: Duration = Duration::from_millis(1_000);

/// Mean pause before the sources are listed and asked again.
const ROUND_PAUSE: Duration = Duration::from_millis(300);

/// Numbers of sources of a zone and of all zones up to which an instance that is listed itself
/// reads the store at once: so few readers share the store's link in any fleet.
const FEW_SOURCES_OF_ZONE: usize = 3;
const FEW_SOURCES: usize = 16;

/// What a starting instance does after the sources that it asked had no copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartupStep {
    /// Reads the store itself.
    ReadStore,
    /// Lists and asks the sources again after a pause.
    Wait(Duration),
}

/// The sources that a starting instance has listed and asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SourceListing {
    /// Number of sources.
    pub count: usize,
    /// Whether the instance itself is listed, from before its restart.
    pub is_own_listed: bool,
    /// Whether one of them has a copy, but sends it to others at the moment.
    pub is_busy: bool,
    /// Time in which the store answered.
    pub latency: Duration,
}

/// What distinguishes an instance at its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartupOptions {
    /// Bandwidth of its machine's link in megabits a second; 0 if unknown.
    pub link_mbps: u32,
    /// Whether others ask this instance before any is listed.
    pub is_seed: bool,
    /// Whether it knows no instance that it could ask before any is listed.
    pub is_alone: bool,
}

/// The start of an instance, until it has a copy.
#[derive(Clone, Copy, Debug)]
pub struct Startup {
    started_at: MonotonicTime,
    options: StartupOptions,
    /// From 0 to 1; the instances with the lowest draws read the store first.
    draw: f64,
}

impl Startup {
    /// Returns the start of an instance; `draw`, from 0 to 1, differs between instances.
    pub fn new(now: MonotonicTime, options: StartupOptions, draw: f64) -> Self {
        Self {
            started_at: now,
            options,
            draw: draw.clamp(0.0, 1.0),
        }
    }

    /// Tells whether the instance reads the store after the sources of its availability zone,
    /// which are listed in `zone`, had no copy, without a look at those of the others.
    pub fn reads_at_once(&self, zone: SourceListing) -> bool {
        zone.is_own_listed && zone.count <= FEW_SOURCES_OF_ZONE
    }

    /// Returns the step after no source sent a copy; `jitter` is from 0 to 1.
    pub fn next(&self, listing: SourceListing, now: MonotonicTime, jitter: f64) -> StartupStep {
        let pause = ROUND_PAUSE.mul_f64(0.5 + jitter.clamp(0.0, 1.0));
        if listing.is_busy {
            return StartupStep::Wait(pause);
        }
        let reads_at = self.reads_at(listing);
        if now >= reads_at {
            return StartupStep::ReadStore;
        }
        StartupStep::Wait(pause.min(reads_at - now))
    }

    /// Returns when the instance reads the store itself: the share of readers is at the time `t`
    /// after the start the initial one times 2 to the power of `t` divided by the doubling time.
    fn reads_at(&self, listing: SourceListing) -> MonotonicTime {
        let is_one_of_few = listing.is_own_listed && listing.count <= FEW_SOURCES;
        if self.options.is_seed || self.options.is_alone || is_one_of_few {
            return self.started_at;
        }
        let share = self.reader_share(listing) * nearness(listing.latency);
        let doublings = (self.draw / share).log2().max(0.0);
        self.started_at + DOUBLING_TIME.mul_f64(doublings)
    }

    /// Returns the share of the instances like this one that read the store at once.
    fn reader_share(&self, listing: SourceListing) -> f64 {
        let count = listing.count as f64;
        if listing.is_own_listed {
            return FIRST_READERS / count;
        }
        // The list may be incomplete while a fleet starts, so it only lowers the share.
        let share = f64::from(self.options.link_mbps) * READER_SHARE_PER_MBPS;
        let share = share.clamp(READER_SHARE_MIN, READER_SHARE_MAX);
        share.min(FIRST_READERS / (count * INSTANCES_PER_SOURCE).max(1.0))
    }
}

/// Returns by how much fewer instances read a store that answers in `latency`.
fn nearness(latency: Duration) -> f64 {
    let latency = latency.max(NEAR_LATENCY);
    NEAR_LATENCY.as_secs_f64() / latency.as_secs_f64()
}
