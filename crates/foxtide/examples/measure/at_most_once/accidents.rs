//! Deaths and pauses of processes, and who is believed to be a member.

use super::fleet::{
    Fleet,
    MEMBERSHIP_LAG_US,
    START,
    TICK_US, //
};
use super::policy::Policy;
use super::state::{
    Event,
    Instance,
    Request, //
};
use rand::RngExt;
use std::time::Duration;

const RESTART_US: u64 = 300_000;

impl<P: Policy> Fleet<P> {
    pub(super) fn tick(&mut self) {
        let now = START + Duration::from_micros(self.now_us);
        let awake = |instance: &Instance| instance.alive && instance.paused_until_us <= self.now_us;
        let running: Vec<bool> = self.instances.iter().map(awake).collect();
        self.policy.tick(now, &running);
        let tick_ms = TICK_US as f64 / 1e3;
        let index = self.random.random_range(0..self.instances.len());
        if self
            .random
            .random_bool(tick_ms / self.options.death_period_ms as f64)
        {
            self.kill(index);
        } else if self
            .random
            .random_bool(tick_ms / self.options.pause_period_ms as f64)
        {
            let pause_us = self.random.random_range(0..self.options.pause_max_ms) * 1_000;
            self.instances[index].paused_until_us = self.now_us + pause_us;
        }
        let open = |request: &Request<P::Key>| request.result.is_none();
        let coming = self.requests.len() < self.options.requests;
        if coming || self.requests.iter().any(open) {
            self.schedule(TICK_US, Event::Tick);
        }
    }

    fn kill(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        if !instance.alive {
            return;
        }
        instance.alive = false;
        instance.process += 1;
        instance.paused_until_us = 0;
        instance.changed_us = self.now_us;
        self.policy.restart(index);
        for copy in 0..self.copies.len() {
            if self.copies[copy].instance == index && self.copies[copy].waited_for {
                self.touch(copy);
            }
        }
        self.schedule(RESTART_US, Event::Boot { instance: index });
    }

    pub(super) fn boot(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.alive = true;
        instance.changed_us = self.now_us;
    }

    /// Returns who is believed to be a member: what was true a while ago.
    pub(super) fn members(&self) -> Vec<bool> {
        let believed = |instance: &Instance| {
            let settled = self.now_us >= instance.changed_us + MEMBERSHIP_LAG_US;
            instance.alive == settled || instance.changed_us == 0
        };
        self.instances.iter().map(believed).collect()
    }
}
