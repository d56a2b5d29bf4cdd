//! Paces bulk bodies on the link of an instance.
//!
//! The load that this addresses is large responses on narrow links: one of 540 kB occupies a link
//! of 10 Mbit/s for 430 ms, and small responses and datagrams wait behind it. Bulk bodies take
//! turns instead, each of a few pieces. Other traffic passes between the turns.

use crate::time::MonotonicTime;
use crate::units::ByteSize;
use std::collections::VecDeque;
use std::fmt;
use std::num::NonZeroU32;
use std::time::Duration;

/// The largest piece that is written at once. It occupies a link of 10 Mbit/s for 13 ms, a third
/// of the shortest time-out for coordinators.
pub const PIECE_MAX: ByteSize = ByteSize::from_kib(16);

/// The largest body that is sent at once, since it is one piece.
const SMALL_BODY_MAX: ByteSize = PIECE_MAX;

/// The share of the link that bulk bodies may use together.
const BULK_SHARE: f64 = 0.9;

/// How long a turn occupies the link if that is more than one piece. Turns of single pieces would
/// cost a wide link a thousand wake-ups a second.
const TURN_TIME: Duration = Duration::from_millis(4);

/// How long before the end of a turn on the link the next one begins. It covers late wake-ups,
/// which would leave the link idle.
const LEAD_TIME: Duration = Duration::from_millis(4);

/// The bandwidth of a link in megabits a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkRate(NonZeroU32);

impl LinkRate {
    /// Returns the bandwidth; `None` for 0, which means that it is unknown.
    pub fn from_mbps(mbps: u32) -> Option<Self> {
        NonZeroU32::new(mbps).map(Self)
    }

    /// Returns how long `bytes` of bulk bodies occupy the part of the link that they may use.
    fn bulk_time(self, bytes: u64) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.bulk_bytes_per_s())
    }

    fn bulk_bytes_per_s(self) -> f64 {
        f64::from(self.0.get()) * 1_000_000.0 / 8.0 * BULK_SHARE
    }
}

impl fmt::Display for LinkRate {
    /// Writes the bandwidth as `200Mbit/s`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}Mbit/s", self.0)
    }
}

/// Identifies a bulk body that is being sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyId(u64);

impl fmt::Display for BodyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "body-{}", self.0)
    }
}

/// When a body may be written on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// This much of it is to be written now.
    Now(ByteSize),
    /// Its turn is expected at this time.
    At(MonotonicTime),
}

/// Gives the bulk bodies of a link turns of equal size, one after the other.
///
/// A body that asks for its next turn goes to the end of the queue, so that those that are being
/// written have equal shares, and a lone one has the whole rate. One whose reader is slow is not
/// in the queue meanwhile and delays none.
#[derive(Clone, Debug)]
pub struct Pacer {
    link: LinkRate,
    turn_bytes: u64,
    /// When the link will have sent the turns that have begun.
    free_at: MonotonicTime,
    /// The bodies that wait, with the bytes of their turns.
    waiting: VecDeque<(BodyId, u64)>,
    next_body: u64,
}

impl Pacer {
    /// Returns the pacer of an idle link.
    pub fn new(link: LinkRate) -> Self {
        let bytes = link.bulk_bytes_per_s() * TURN_TIME.as_secs_f64();
        let pieces = (bytes as u64 / PIECE_MAX.get()).max(1);
        Self {
            link,
            turn_bytes: pieces * PIECE_MAX.get(),
            free_at: MonotonicTime::ZERO,
            waiting: VecDeque::new(),
            next_body: 0,
        }
    }

    /// Begins a body; `None` if it is small and need not be paced.
    pub fn begin(&mut self, size: ByteSize) -> Option<BodyId> {
        if size <= SMALL_BODY_MAX {
            return None;
        }
        self.next_body += 1;
        Some(BodyId(self.next_body))
    }

    /// Asks for the next turn of a body of which `left` is to be written. If the turn is later,
    /// the body asks again at that time.
    pub fn take_turn(&mut self, body: BodyId, left: ByteSize, now: MonotonicTime) -> Turn {
        let ahead_bytes = self.enqueue(body, left);
        let next_at = self.free_at.saturating_sub(LEAD_TIME).max(now);
        if ahead_bytes > 0 || next_at > now {
            return Turn::At(next_at + self.link.bulk_time(ahead_bytes));
        }
        let bytes = self.waiting.pop_front().map_or(0, |(_, bytes)| bytes);
        self.free_at = self.free_at.max(now) + self.link.bulk_time(bytes);
        Turn::Now(ByteSize::from_bytes(bytes))
    }

    /// Ends a body that waits, if its caller has left or it is written without pacing.
    pub fn end(&mut self, body: BodyId) {
        self.waiting.retain(|(waiting, _)| *waiting != body);
    }

    /// Adds a body to the queue unless it waits there; returns the bytes of the turns before its
    /// own.
    fn enqueue(&mut self, body: BodyId, left: ByteSize) -> u64 {
        let mut ahead_bytes = 0;
        for (waiting, bytes) in &self.waiting {
            if *waiting == body {
                return ahead_bytes;
            }
            ahead_bytes += bytes;
        }
        let turn_bytes = left.get().min(self.turn_bytes);
        self.waiting.push_back((body, turn_bytes));
        ahead_bytes
    }
}
