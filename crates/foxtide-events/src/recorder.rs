//! Records, timestamps and logs the events of a process.
//!
//! One lock protects clock and ring. It is not held while a line is logged, and
//! no other lock is taken under it.

use crate::WallClock;
use crate::log_level;
use foxtide_core::events::{
    Event,
    EventCode,
    EventDraft,
    EventFields,
    EventFilter,
    EventRing,
    EventRingOptions,
    HybridClock,
    HybridTime,
    RepeatFilter,
    RingEntry, //
};
use foxtide_core::ids::InstanceId;
use foxtide_core::time::WallTime;
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;

const LOG_TARGET: &str = "foxtide";

/// Minimum time between two events about clock skew of peers.
const SKEW_REPORT_INTERVAL: Duration = Duration::from_secs(60);

/// Options of a recorder.
#[derive(Clone, Debug, Default)]
pub struct RecorderOptions {
    /// Capacity of the event ring.
    pub ring: EventRingOptions,
    /// The wall clock; the system clock by default.
    pub clock: WallClock,
}

#[derive(Debug)]
struct State {
    clock: HybridClock,
    ring: EventRing,
    repeats: RepeatFilter,
    skew_reported_at: Option<WallTime>,
}

#[derive(Debug)]
struct Shared {
    instance: InstanceId,
    wall: WallClock,
    state: Mutex<State>,
}

/// Records and logs the events of one process, with hybrid timestamps.
///
/// Clones share one ring.
#[derive(Clone, Debug)]
pub struct Recorder {
    shared: Arc<Shared>,
}

impl Recorder {
    /// Returns a recorder for the instance of this process.
    pub fn new(instance: InstanceId, options: RecorderOptions) -> Self {
        let state = State {
            clock: HybridClock::default(),
            ring: EventRing::new(options.ring),
            repeats: RepeatFilter::default(),
            skew_reported_at: None,
        };
        let shared = Shared {
            instance,
            wall: options.clock,
            state: Mutex::new(state),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns the instance whose events are recorded.
    pub fn instance(&self) -> &InstanceId {
        &self.shared.instance
    }

    /// Records and logs an event; returns its timestamp. Repeated events are only
    /// counted; see [`RepeatFilter`].
    pub fn record(&self, code: EventCode, fields: EventFields) -> HybridTime {
        let wall = self.shared.wall.now();
        let mut state = self.shared.state.lock();
        let clock = state.clock.tick(wall);
        let Some(fields) = state.repeats.admit(code, fields, wall) else {
            return clock;
        };
        let event = Event::new(clock, self.shared.instance.clone(), code, fields);
        let line = is_log_enabled(code).then(|| event.to_string());
        state.ring.push(event);
        drop(state);
        if let Some(line) = line {
            log::log!(target: LOG_TARGET, log_level(code), "{line}");
        }
        clock
    }

    /// Records and logs events in order.
    pub fn record_all(&self, drafts: Vec<EventDraft>) {
        for draft in drafts {
            self.record(draft.code, draft.fields);
        }
    }

    /// Returns the timestamp for a message to a peer.
    pub fn stamp(&self) -> HybridTime {
        let wall = self.shared.wall.now();
        self.shared.state.lock().clock.tick(wall)
    }

    /// Advances the clock past the timestamp of a received message, so that later
    /// events sort after its sending.
    pub fn observe(&self, remote: HybridTime) -> HybridTime {
        let wall = self.shared.wall.now();
        self.shared.state.lock().clock.observe(remote, wall)
    }

    /// Does the same as [`observe`](Self::observe), and records an event if the
    /// peer's clock is too far ahead, at most once a minute.
    pub fn observe_from(&self, peer: &str, remote: HybridTime) {
        let wall = self.shared.wall.now();
        self.shared.state.lock().clock.observe(remote, wall);
        if remote.is_ahead(wall) && self.may_report_skew(wall) {
            let fields = EventFields {
                peer: peer.parse().ok(),
                detail: format!("ahead_by={:?}", remote.wall_us.since(wall)),
                ..EventFields::default()
            };
            self.record(EventCode::WallClockSkewed, fields);
        }
    }

    fn may_report_skew(&self, wall: WallTime) -> bool {
        let mut state = self.shared.state.lock();
        let last = state.skew_reported_at;
        let due = last.is_none_or(|last| wall.since(last) >= SKEW_REPORT_INTERVAL);
        if due {
            state.skew_reported_at = Some(wall);
        }
        due
    }

    /// Returns the events that match a filter, oldest first.
    pub fn select(&self, filter: &EventFilter) -> Vec<Event> {
        self.shared.state.lock().ring.select(filter)
    }

    /// Returns the oldest `limit` events above debug level recorded after
    /// `sequence`, for copying to peers.
    pub fn notable_after(&self, sequence: u64, limit: usize) -> Vec<RingEntry> {
        let state = self.shared.state.lock();
        state.ring.notable_after(sequence, limit)
    }

    /// Returns how many events were dropped because the ring was full.
    pub fn dropped(&self) -> u64 {
        self.shared.state.lock().ring.dropped()
    }
}

fn is_log_enabled(code: EventCode) -> bool {
    log::log_enabled!(target: LOG_TARGET, log_level(code))
}
