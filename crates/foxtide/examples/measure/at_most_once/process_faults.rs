//! Injects crashes, restarts and pauses of processes; delays their effect on membership.

use super::fleet::{
    Fleet,
    MEMBERSHIP_LAG_US,
    SIMULATION_START,
    TICK_PERIOD_US, //
};
use super::policy::Policy;
use super::state::{
    Event,
    Instance,
    Request, //
};
use rand::RngExt;
use std::time::Duration;

const RESTART_DELAY_US: u64 = 300_000;

impl<P: Policy> Fleet<P> {
    pub(super) fn tick(&mut self) {
        let now = SIMULATION_START + Duration::from_micros(self.now_us);
        let is_running =
            |instance: &Instance| instance.alive && instance.paused_until_us <= self.now_us;
        let running: Vec<bool> = self.instances.iter().map(is_running).collect();
        self.policy.tick(now, &running);
        let tick_ms = TICK_PERIOD_US as f64 / 1e3;
        let index = self.random.random_range(0..self.instances.len());
        if self
            .random
            .random_bool(tick_ms / self.options.crash_period_ms as f64)
        {
            self.crash(index);
        } else if self
            .random
            .random_bool(tick_ms / self.options.pause_period_ms as f64)
        {
            let pause_us = self.random.random_range(0..self.options.pause_max_ms) * 1_000;
            self.instances[index].paused_until_us = self.now_us + pause_us;
        }
        let is_pending = |request: &Request<P::Key>| request.result.is_none();
        let more_expected = self.requests.len() < self.options.requests;
        if more_expected || self.requests.iter().any(is_pending) {
            self.schedule(TICK_PERIOD_US, Event::Tick);
        }
    }

    fn crash(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        if !instance.alive {
            return;
        }
        instance.alive = false;
        instance.process += 1;
        instance.paused_until_us = 0;
        instance.changed_us = self.now_us;
        self.policy.restart(index);
        for attempt in 0..self.attempts.len() {
            if self.attempts[attempt].instance == index && self.attempts[attempt].caller_waiting {
                self.mark_affected(attempt);
            }
        }
        self.schedule(RESTART_DELAY_US, Event::Boot { instance: index });
    }

    pub(super) fn boot(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.alive = true;
        instance.changed_us = self.now_us;
    }

    /// Returns which instances are believed to be members: the true state, delayed by
    /// [`MEMBERSHIP_LAG_US`].
    pub(super) fn believed_members(&self) -> Vec<bool> {
        let believed = |instance: &Instance| {
            let settled = self.now_us >= instance.changed_us + MEMBERSHIP_LAG_US;
            instance.alive == settled || instance.changed_us == 0
        };
        self.instances.iter().map(believed).collect()
    }
}
