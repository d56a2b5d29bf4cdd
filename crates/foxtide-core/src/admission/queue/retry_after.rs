//! When rejected requests may come back.

use super::SlotQueue;
use super::waiting::Waiting;
use crate::admission::request::Ticket;
use crate::time::MonotonicTime;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Bounds of the retry delay in rejections, without its spread.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
const RETRY_AFTER_MAX: Duration = Duration::from_millis(1_000);

/// The largest part by which a retry delay is lengthened, so that requests that are rejected
/// together do not come back together.
const SPREAD_MAX: f64 = 0.25;

impl SlotQueue {
    /// Returns the time after which room is expected for a rejected request: when the requests of
    /// its priority or a higher one that wait have begun.
    pub(super) fn retry_after(&self, rejected: &Waiting, now: MonotonicTime) -> Duration {
        let schedule = self.schedule_of(now, |waiting| {
            waiting.ticket != rejected.ticket && waiting.priority <= rejected.priority
        });
        let usable = self.usable_slots(self.work_of(rejected), now);
        let room_in = schedule.next_free(usable).since(now);
        let delay = room_in.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
        delay.mul_f64(1.0 + SPREAD_MAX * spread_of(rejected.ticket))
    }
}

/// Returns a number from 0 to 1 that is evenly distributed over tickets.
fn spread_of(ticket: Ticket) -> f64 {
    let hash = xxh3_64(&ticket.number.to_le_bytes());
    hash as f64 / u64::MAX as f64
}
