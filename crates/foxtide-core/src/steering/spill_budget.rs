//! Counts the requests that spill over, so that no window has more than the contract allows.

use crate::time::MonotonicTime;
use std::collections::VecDeque;
use std::time::Duration;

/// The window in which the spilled share of the requests is limited.
const SPILL_WINDOW: Duration = Duration::from_secs(10);

/// The resolution of the window. Monitors take samples up to one second apart.
const SLOT: Duration = Duration::from_secs(1);

/// The slots that touch a window.
const SLOTS: u64 = SPILL_WINDOW.as_secs() / SLOT.as_secs() + 1;

/// The standard deviations by which a later window may have fewer requests, as a Poisson-distributed
/// count: what spilled counts there too.
const RESERVE_DEVIATIONS: f64 = 3.0;

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
    /// Tells whether one more request may spill over at a limit on the share of requests.
    pub(crate) fn allows(&self, limit_share: f64, now: MonotonicTime) -> bool {
        let current = slot_number(now);
        let in_window = |slot: &&Slot| slot.number + SLOTS > current;
        let (mut requests, mut spilled) = (0.0, 0.0);
        for slot in self.slots.iter().filter(in_window) {
            requests += f64::from(slot.requests);
            spilled += f64::from(slot.spilled);
        }
        let expected =
            requests * (SPILL_WINDOW.as_secs_f64() / (SPILL_WINDOW + SLOT).as_secs_f64());
        let certain = expected - RESERVE_DEVIATIONS * expected.sqrt();
        spilled + 1.0 <= certain * limit_share
    }

    /// Records a request that was sent or rejected.
    pub(crate) fn record(&mut self, is_spilled: bool, now: MonotonicTime) {
        let number = slot_number(now);
        self.slots.retain(|slot| slot.number + SLOTS > number);
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

fn slot_number(now: MonotonicTime) -> u64 {
    now.as_ms() / SLOT.as_millis() as u64
}
