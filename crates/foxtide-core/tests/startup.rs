//! Models a fleet whose instances all start at the same time, on a virtual clock.
//!
//! The contents of the store grow with the fleet. All instances share the store's link; a page
//! that takes longer than the timeout of a call is lost and read again.

use foxtide_core::registry::{
    SourceListing,
    Startup,
    StartupOptions,
    StartupStep, //
};
use foxtide_core::time::MonotonicTime;
use std::time::Duration;

const STEP_MS: u64 = 5;
const STORE_LINK_BYTES_PER_MS: f64 = 125_000.0;
const BYTES_PER_MS_PER_MBPS: f64 = 125.0;
const FAST_LINK_MBPS: u32 = 200;
const SLOW_LINK_MBPS: u32 = 20;

/// Of each 11 instances one has a fast link.
const INSTANCES_PER_FAST_LINK: usize = 11;
const UPSTREAMS_PER_INSTANCE: usize = 10;
const PAGE_RECORDS: usize = 200;
const RECORD_BYTES: f64 = 330.0;
const PACKED_RECORD_BYTES: f64 = 100.0;
const PART_RECORDS: usize = 900;

/// The round trip to the store and to a source; a third of the instances is near the store.
const NEAR_ROUND_TRIP_MS: u64 = 5;
const FAR_ROUND_TRIP_MS: u64 = 75;

/// The timeouts of a page and of a part of a copy.
const PAGE_TIMEOUT_MS: u64 = 1_000;
const PART_TIMEOUT_MS: u64 = 600;

/// The time until others find an instance that has a copy in the list of sources.
const LISTING_TIME_MS: u64 = 250;

/// The seeds, of which one is near the store.
const SEEDS_END: usize = 4;

/// Instances that follow the store themselves while the fleet is small.
const FIRST_SOURCES: usize = 16;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// Lists and asks the sources at a time.
    Lists {
        at_ms: u64,
    },
    /// Reads pages from the store, the next one from a time on.
    Reads {
        records_left: usize,
        bytes_left: f64,
        page_begins_ms: u64,
    },
    /// Receives parts of a copy.
    Copies {
        source: usize,
        records_left: usize,
        bytes_left: f64,
        part_begins_ms: u64,
    },
    Ready {
        since_ms: u64,
    },
}

struct Instance {
    startup: Startup,
    link_mbps: u32,
    is_near: bool,
    was_source: bool,
    sending: usize,
    phase: Phase,
}

struct Fleet {
    instances: Vec<Instance>,
    records: usize,
    /// The instances that were sources before the restart.
    listed: usize,
    /// Whether each instance reads the store by itself.
    all_read: bool,
    store_bytes: f64,
    sources: Vec<usize>,
    draws: u64,
}

/// How a start ended.
struct Outcome {
    /// When each instance had a copy, in ascending order.
    ready_ms: Vec<u64>,
    store_bytes: f64,
}

impl Fleet {
    /// Returns a fleet, of which `listed` instances are listed as sources from before.
    fn new(count: usize, listed: usize, all_read: bool) -> Self {
        let mut fleet = Self {
            instances: Vec::new(),
            records: count * (UPSTREAMS_PER_INSTANCE + 1),
            listed,
            all_read,
            store_bytes: 0.0,
            sources: Vec::new(),
            draws: 0,
        };
        for number in 0..count {
            let is_fast = number % INSTANCES_PER_FAST_LINK == 0;
            let link_mbps = if is_fast {
                FAST_LINK_MBPS
            } else {
                SLOW_LINK_MBPS
            };
            let draw = fleet.draw();
            fleet.instances.push(Instance {
                startup: Startup::new(
                    MonotonicTime::ZERO,
                    StartupOptions {
                        link_mbps,
                        is_seed: is_seed(number),
                        is_alone: count == 1,
                    },
                    draw,
                ),
                link_mbps,
                is_near: number % 3 == 0,
                // Watchers have the fastest links.
                was_source: is_fast && number / INSTANCES_PER_FAST_LINK < listed,
                sending: 0,
                phase: Phase::Lists {
                    at_ms: (draw * 300.0) as u64,
                },
            });
        }
        fleet
    }

    /// Returns well distributed values from 0 to 1.
    fn draw(&mut self) -> f64 {
        self.draws += 1;
        (self.draws as f64 * 0.618_034).fract()
    }

    fn run(mut self, limit_ms: u64) -> Outcome {
        for now_ms in (0..limit_ms).step_by(STEP_MS as usize) {
            for number in 0..self.instances.len() {
                if matches!(self.instances[number].phase, Phase::Lists { at_ms } if at_ms <= now_ms)
                {
                    self.instances[number].phase = self.list(number, now_ms);
                }
            }
            self.transfer(now_ms);
        }
        let ready = self.instances.iter().filter_map(|one| match one.phase {
            Phase::Ready { since_ms } => Some(since_ms),
            _ => None,
        });
        let mut ready_ms: Vec<u64> = ready.collect();
        ready_ms.sort_unstable();
        Outcome {
            ready_ms,
            store_bytes: self.store_bytes,
        }
    }

    fn list(&mut self, number: usize, now_ms: u64) -> Phase {
        let reads = Phase::Reads {
            records_left: self.records,
            bytes_left: page_bytes(self.records),
            page_begins_ms: now_ms + self.round_trip_ms(number),
        };
        if self.all_read {
            return reads;
        }
        let (source, is_busy) = self.ask_sources(number, now_ms);
        if let Some(source) = source {
            self.instances[source].sending += 1;
            return Phase::Copies {
                source,
                records_left: self.records,
                bytes_left: part_bytes(self.records),
                part_begins_ms: now_ms + self.round_trip_ms(number),
            };
        }
        let listing = SourceListing {
            count: self.listed.max(self.sources.len()),
            is_own_listed: self.instances[number].was_source,
            is_busy,
            latency: Duration::from_millis(self.round_trip_ms(number)),
        };
        let now = MonotonicTime::ZERO + Duration::from_millis(now_ms);
        let jitter = self.draw();
        match self.instances[number].startup.next(listing, now, jitter) {
            StartupStep::ReadStore => reads,
            StartupStep::Wait(pause) => Phase::Lists {
                at_ms: now_ms + pause.as_millis() as u64 + self.round_trip_ms(number),
            },
        }
    }

    /// Asks two sources in a pseudo-random order; returns one that sends a copy, and whether
    /// one was busy.
    fn ask_sources(&self, number: usize, now_ms: u64) -> (Option<usize>, bool) {
        let is_listed = |source: &&usize| match self.instances[**source].phase {
            Phase::Ready { since_ms } => since_ms + LISTING_TIME_MS <= now_ms,
            _ => false,
        };
        let mut listed: Vec<usize> = self.sources.iter().filter(is_listed).copied().collect();
        if listed.is_empty() {
            let has_copy = |&seed: &usize| match self.instances[seed].phase {
                Phase::Ready { since_ms } => since_ms <= now_ms,
                _ => false,
            };
            listed = (0..self.instances.len().min(SEEDS_END))
                .filter(|&one| is_seed(one))
                .collect();
            listed.retain(has_copy);
        }
        let asked = |attempt: usize| listed.get((number * 7 + attempt * 3) % listed.len().max(1));
        let asked: Vec<usize> = (0..2).filter_map(asked).copied().collect();
        let is_free = |source: &usize| {
            let source = &self.instances[*source];
            source.sending < copies_max(source.link_mbps)
        };
        (asked.iter().copied().find(is_free), !asked.is_empty())
    }

    fn round_trip_ms(&self, number: usize) -> u64 {
        if self.instances[number].is_near {
            NEAR_ROUND_TRIP_MS
        } else {
            FAR_ROUND_TRIP_MS
        }
    }

    /// Transfers the bytes of one step over the links.
    fn transfer(&mut self, now_ms: u64) {
        let is_reading = |one: &&Instance| matches!(one.phase, Phase::Reads { page_begins_ms, .. } if page_begins_ms <= now_ms);
        let readers = self.instances.iter().filter(is_reading).count().max(1);
        let store_share = STORE_LINK_BYTES_PER_MS / readers as f64 * STEP_MS as f64;
        for number in 0..self.instances.len() {
            let own_link = f64::from(self.instances[number].link_mbps)
                * BYTES_PER_MS_PER_MBPS
                * STEP_MS as f64;
            let round_trip_ms = self.round_trip_ms(number);
            let phase = self.instances[number].phase;
            self.instances[number].phase = match phase {
                Phase::Reads {
                    records_left,
                    bytes_left,
                    page_begins_ms,
                } if page_begins_ms <= now_ms => {
                    let sent = store_share.min(own_link).min(bytes_left);
                    self.store_bytes += sent;
                    let left = bytes_left - sent;
                    if left <= 0.0 {
                        let records_left = records_left.saturating_sub(PAGE_RECORDS);
                        if records_left == 0 {
                            self.become_ready(number, now_ms)
                        } else {
                            Phase::Reads {
                                records_left,
                                bytes_left: page_bytes(records_left),
                                page_begins_ms: now_ms + round_trip_ms,
                            }
                        }
                    } else if now_ms - page_begins_ms > PAGE_TIMEOUT_MS {
                        Phase::Reads {
                            records_left,
                            bytes_left: page_bytes(records_left),
                            page_begins_ms: now_ms + round_trip_ms,
                        }
                    } else {
                        Phase::Reads {
                            records_left,
                            bytes_left: left,
                            page_begins_ms,
                        }
                    }
                }
                Phase::Copies {
                    source,
                    records_left,
                    bytes_left,
                    part_begins_ms,
                } if part_begins_ms <= now_ms => {
                    let of_source = &self.instances[source];
                    let source_link = f64::from(of_source.link_mbps) * BYTES_PER_MS_PER_MBPS;
                    let share = source_link / of_source.sending as f64 * STEP_MS as f64;
                    let left = bytes_left - share.min(own_link);
                    if left <= 0.0 {
                        let records_left = records_left.saturating_sub(PART_RECORDS);
                        if records_left == 0 {
                            self.instances[source].sending -= 1;
                            self.become_ready(number, now_ms)
                        } else {
                            Phase::Copies {
                                source,
                                records_left,
                                bytes_left: part_bytes(records_left),
                                part_begins_ms: now_ms,
                            }
                        }
                    } else if now_ms - part_begins_ms > PART_TIMEOUT_MS {
                        self.instances[source].sending -= 1;
                        Phase::Lists {
                            at_ms: now_ms + 300,
                        }
                    } else {
                        Phase::Copies {
                            source,
                            records_left,
                            bytes_left: left,
                            part_begins_ms,
                        }
                    }
                }
                phase => phase,
            };
        }
    }

    fn become_ready(&mut self, number: usize, now_ms: u64) -> Phase {
        let is_fast = self.instances[number].link_mbps == FAST_LINK_MBPS;
        if is_fast || self.sources.len() < FIRST_SOURCES {
            self.sources.push(number);
        }
        Phase::Ready { since_ms: now_ms }
    }
}

/// Returns how many copies a source sends at the same time.
fn copies_max(link_mbps: u32) -> usize {
    ((f64::from(link_mbps) * 0.06) as usize).max(2)
}

fn is_seed(number: usize) -> bool {
    (1..SEEDS_END).contains(&number)
}

fn page_bytes(records_left: usize) -> f64 {
    records_left.min(PAGE_RECORDS) as f64 * RECORD_BYTES
}

fn part_bytes(records_left: usize) -> f64 {
    records_left.min(PART_RECORDS) as f64 * PACKED_RECORD_BYTES
}

/// The time in which a fleet whose processes were all killed has to serve again.
const RECOVERY_MS: u64 = 18_000;

/// Watchers of a fleet: one for 16 instances.
fn watchers(count: usize) -> usize {
    count.div_ceil(16)
}

/// Pattern: all instances start at the same time and each reads the whole store. The bytes on
/// the store's link grow with the square of the fleet.
#[test]
fn verify_reads_of_all_instances_do_not_scale() {
    let outcome = |count| Fleet::new(count, watchers(count), true).run(RECOVERY_MS);
    assert_eq!(outcome(100).ready_ms.len(), 100);
    assert!(outcome(985).ready_ms.len() < 985);
}

/// Pattern: all processes are killed and start again while the leases of the sources last.
#[test]
fn verify_a_fleet_that_restarts_as_a_whole_starts_in_time() {
    for count in [30, 300, 985, 2_000] {
        let outcome = Fleet::new(count, watchers(count), false).run(RECOVERY_MS);
        assert_eq!(outcome.ready_ms.len(), count, "of {count}");
    }
}

/// Pattern: the whole fleet starts and no source is known.
#[test]
fn verify_a_fleet_without_sources_starts_in_time() {
    for count in [1, 30, 300, 985, 2_000] {
        let outcome = Fleet::new(count, 0, false).run(RECOVERY_MS);
        assert_eq!(outcome.ready_ms.len(), count, "of {count}");
    }
}

/// Pattern: the same start in fleets of different sizes. No more instances may read the store
/// than a fleet has watchers, so that the bytes on its link do not grow with the square.
#[test]
fn verify_few_instances_read_the_store() {
    for count in [985, 2_000] {
        let fleet = Fleet::new(count, 0, false);
        let contents_bytes = fleet.records as f64 * RECORD_BYTES;
        let reads = fleet.run(RECOVERY_MS).store_bytes / contents_bytes;
        assert!(reads <= watchers(count) as f64, "{reads} reads by {count}");
    }
}

#[test]
fn verify_an_instance_without_sources_reads_the_store_in_the_end() {
    let options = StartupOptions::default();
    let far = SourceListing {
        latency: Duration::from_millis(100),
        ..SourceListing::default()
    };
    for draw in [0.0, 0.5, 1.0] {
        let startup = Startup::new(MonotonicTime::ZERO, options, draw);
        let now = MonotonicTime::ZERO + Duration::from_millis(RECOVERY_MS);
        assert_eq!(
            startup.next(far, now, 0.5),
            StartupStep::ReadStore,
            "{draw}"
        );
    }
    let last = Startup::new(MonotonicTime::ZERO, options, 1.0);
    let step = last.next(far, MonotonicTime::ZERO, 0.5);
    assert_eq!(step, StartupStep::Wait(Duration::from_millis(300)));
}

#[test]
fn verify_seeds_and_lone_instances_read_the_store_at_once() {
    let read_at_once = |options: StartupOptions| {
        let startup = Startup::new(MonotonicTime::ZERO, options, 1.0);
        let step = startup.next(SourceListing::default(), MonotonicTime::ZERO, 0.5);
        step == StartupStep::ReadStore
    };
    let options = StartupOptions::default();
    assert!(!read_at_once(options));
    assert!(read_at_once(StartupOptions {
        is_seed: true,
        ..options
    }));
    assert!(read_at_once(StartupOptions {
        is_alone: true,
        ..options
    }));
}
