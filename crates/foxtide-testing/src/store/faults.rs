//! Holds the store's injected faults.

use rand::rngs::StdRng;
use rand::{
    RngExt,
    SeedableRng, //
};
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::time::Duration;

/// The active faults.
pub(super) struct Faults {
    /// The delay before each call takes effect.
    pub(super) delay: Duration,
    pub(super) answers_to_lose: u32,
    pub(super) answer_loss_probability: f64,
    pub(super) blocked: BTreeSet<IpAddr>,
    rng: StdRng,
}

impl Faults {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            delay: Duration::ZERO,
            answers_to_lose: 0,
            answer_loss_probability: 0.0,
            blocked: BTreeSet::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns whether calls from this address stay unanswered.
    pub(super) fn is_blocked(&self, caller: IpAddr) -> bool {
        self.blocked.contains(&caller)
    }

    /// Decides whether to drop the answer to a change that has taken effect.
    pub(super) fn loses_answer(&mut self) -> bool {
        if self.answers_to_lose > 0 {
            self.answers_to_lose -= 1;
            return true;
        }
        self.rng.random_bool(self.answer_loss_probability)
    }
}
