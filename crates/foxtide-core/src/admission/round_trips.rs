//! How long an instance waits for the answers of coordinators, and which coordinators it skips.
//!
//! The load that this addresses is a link that bulk transfers occupy: answers arrive late for a
//! while, although the coordinator works. A request whose answer is late goes on without a slot.

use crate::time::MonotonicTime;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The number of unanswered asks in a row after which a coordinator is skipped. Single datagrams
/// are lost or late; three in a row rarely are while the coordinator works.
const UNANSWERED_MAX: u32 = 3;

/// The least allowance beyond the smoothed round-trip time (the clock granularity of RFC 6298,
/// section 2.3). It covers the scheduling delay of a busy instance where round trips vary little.
const DEVIATION_ALLOWANCE_MIN: Duration = Duration::from_millis(10);

/// How long an unanswered ask is kept for a late answer.
const ASK_TTL: Duration = Duration::from_secs(2);

/// How long the round-trip times of a coordinator that is not asked are kept.
const COORDINATOR_TTL: Duration = Duration::from_secs(60);

/// The bounds of the time-out for answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoundTripOptions {
    /// The shortest time-out.
    pub timeout_min: Duration,
    /// The longest time-out.
    pub timeout_max: Duration,
    /// How long a coordinator that does not answer is skipped.
    pub skip_time: Duration,
}

impl Default for RoundTripOptions {
    /// The shortest time-out covers a round trip within a region and the delay of a busy
    /// instance, the longest one twice the longest round trip between regions.
    fn default() -> Self {
        Self {
            timeout_min: Duration::from_millis(40),
            timeout_max: Duration::from_millis(250),
            skip_time: Duration::from_millis(500),
        }
    }
}

/// The round-trip times that an instance has measured, by coordinator.
#[derive(Clone, Debug, Default)]
pub struct RoundTrips {
    options: RoundTripOptions,
    coordinators: HashMap<SocketAddr, Coordinator>,
    /// The asks whose answers may arrive, by number.
    asks: HashMap<u64, Ask>,
}

/// What is known of one coordinator.
#[derive(Clone, Copy, Debug, Default)]
struct Coordinator {
    estimate: Option<Estimate>,
    /// The asks since the last answer that were not answered in time.
    unanswered: u32,
    skipped_until: Option<MonotonicTime>,
    asked_at: MonotonicTime,
}

/// The smoothed round-trip time and its mean deviation (RFC 6298, section 2).
#[derive(Clone, Copy, Debug)]
struct Estimate {
    smoothed: Duration,
    deviation: Duration,
}

/// An ask that was sent.
#[derive(Clone, Copy, Debug)]
struct Ask {
    coordinator: SocketAddr,
    sent_at: MonotonicTime,
    /// Whether its answer tells the round-trip time: the ask was sent once and not yet answered
    /// (Karn's algorithm, RFC 6298, section 3).
    is_measured: bool,
    is_answered: bool,
}

impl RoundTrips {
    /// Returns the state of an instance that has measured nothing.
    pub fn new(options: RoundTripOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Returns how long to wait for an answer; `initial` while no round trip has been measured.
    pub fn timeout(&self, coordinator: SocketAddr, initial: Duration) -> Duration {
        let known = self.coordinators.get(&coordinator);
        let estimate = known.and_then(|known| known.estimate);
        let timeout = estimate.map_or(initial, Estimate::timeout);
        let timeout_max = self.options.timeout_max.max(self.options.timeout_min);
        timeout.clamp(self.options.timeout_min, timeout_max)
    }

    /// Tells whether a coordinator is to be skipped, since it does not answer.
    pub fn is_skipped(&self, coordinator: SocketAddr, now: MonotonicTime) -> bool {
        let known = self.coordinators.get(&coordinator);
        let skipped_until = known.and_then(|known| known.skipped_until);
        skipped_until.is_some_and(|until| now < until)
    }

    /// Records that an ask is sent, for the first time or again.
    pub fn record_ask(&mut self, number: u64, coordinator: SocketAddr, now: MonotonicTime) {
        self.coordinators.entry(coordinator).or_default().asked_at = now;
        let is_repeated = self.asks.contains_key(&number);
        let ask = Ask {
            coordinator,
            sent_at: now,
            is_measured: !is_repeated,
            is_answered: false,
        };
        self.asks.insert(number, ask);
    }

    /// Records an answer, which may be late.
    pub fn record_answer(&mut self, number: u64, coordinator: SocketAddr, now: MonotonicTime) {
        let Some(known) = self.coordinators.get_mut(&coordinator) else {
            return;
        };
        known.unanswered = 0;
        known.skipped_until = None;
        let ask = self.asks.get_mut(&number);
        let Some(ask) = ask.filter(|ask| ask.coordinator == coordinator) else {
            return;
        };
        ask.is_answered = true;
        if std::mem::take(&mut ask.is_measured) {
            let measured = now - ask.sent_at;
            known.estimate = Some(Estimate::updated(known.estimate, measured));
        }
    }

    /// Records that an ask was not answered in time.
    pub fn record_timeout(&mut self, number: u64, now: MonotonicTime) {
        let Some(ask) = self.asks.get(&number) else {
            return;
        };
        let known = self.coordinators.entry(ask.coordinator).or_default();
        known.unanswered = known.unanswered.saturating_add(1);
        if known.unanswered >= UNANSWERED_MAX {
            known.skipped_until = Some(now + self.options.skip_time);
        }
    }

    /// Records that nobody waits for the answer to an ask. One that is not answered yet is kept,
    /// so that its answer is measured.
    pub fn end_ask(&mut self, number: u64) {
        if self.asks.get(&number).is_some_and(|ask| ask.is_answered) {
            self.asks.remove(&number);
        }
    }

    /// Drops asks that are too old to be answered, and coordinators that are not asked any more.
    pub fn prune(&mut self, now: MonotonicTime) {
        self.asks.retain(|_, ask| now - ask.sent_at < ASK_TTL);
        self.coordinators
            .retain(|_, known| now - known.asked_at < COORDINATOR_TTL);
    }
}

impl Estimate {
    /// Returns the estimate with another measurement.
    fn updated(previous: Option<Self>, measured: Duration) -> Self {
        let Some(previous) = previous else {
            return Self {
                smoothed: measured,
                deviation: measured / 2,
            };
        };
        let error = previous.smoothed.abs_diff(measured);
        Self {
            smoothed: (previous.smoothed * 7 + measured) / 8,
            deviation: (previous.deviation * 3 + error) / 4,
        }
    }

    fn timeout(self) -> Duration {
        self.smoothed + (self.deviation * 4).max(DEVIATION_ALLOWANCE_MIN)
    }
}
