//! Counts the requests that spill over, so that no window that ends as one spills has more of them
//! than the contract allows.

use crate::time::MonotonicTime;
use std::collections::VecDeque;
use std::time::Duration;

/// The window in which the spilled share of the requests is limited.
const SPILL_WINDOW: Duration = Duration::from_secs(10);

/// The longest time between two samples of a monitor. The window in which it counts a request ends up
/// to as much after the request, and may be longer by as much.
const SAMPLE_INTERVAL_MAX: Duration = Duration::from_millis(1_500);

/// The resolution of the counts.
const SLOT: Duration = Duration::from_millis(250);

/// The requests of one service in the last window.
#[derive(Clone, Debug, Default)]
pub(crate) struct SpillBudget {
    slots: VecDeque<Slot>,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    number: u64,
    requests: u32,
    spilled: u32,
}

impl SpillBudget {
    /// Tells whether one more request may spill over at a limit on the share of requests. All
    /// windows in which it may be counted hold the requests that count here, and no more spilled
    /// ones.
    pub(crate) fn allows(&self, limit_share: f64, now: MonotonicTime) -> bool {
        let spilled_since = slot_before(now, SPILL_WINDOW + SAMPLE_INTERVAL_MAX);
        let requests_after = slot_before(now, SPILL_WINDOW - SAMPLE_INTERVAL_MAX);
        let (mut requests, mut spilled) = (1.0, 1.0);
        for slot in &self.slots {
            if slot.number >= spilled_since {
                spilled += f64::from(slot.spilled);
            }
            if slot.number > requests_after {
                requests += f64::from(slot.requests);
            }
        }
        spilled <= requests * limit_share
    }

    /// Records a request that was sent or rejected.
    pub(crate) fn record(&mut self, is_spilled: bool, now: MonotonicTime) {
        let number = slot_number(now);
        let kept_since = slot_before(now, SPILL_WINDOW + SAMPLE_INTERVAL_MAX);
        while self
            .slots
            .front()
            .is_some_and(|slot| slot.number < kept_since)
        {
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|last| last.number != number) {
            let (requests, spilled) = (0, 0);
            self.slots.push_back(Slot {
                number,
                requests,
                spilled,
            });
        }
        if let Some(slot) = self.slots.back_mut() {
            slot.requests = slot.requests.saturating_add(1);
            slot.spilled = slot.spilled.saturating_add(u32::from(is_spilled));
        }
    }
}

/// Returns the number of the slot in which `time` before `now` lies.
fn slot_before(now: MonotonicTime, time: Duration) -> u64 {
    slot_number(now).saturating_sub(time.as_millis() as u64 / SLOT.as_millis() as u64)
}

fn slot_number(now: MonotonicTime) -> u64 {
    now.as_ms() / SLOT.as_millis() as u64
}
