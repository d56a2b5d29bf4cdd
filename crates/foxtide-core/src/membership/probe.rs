//! Which instance is probed when, and what its silence means.
//!
//! SWIM, sections 3.1 and 4.3: each interval one target of a shuffled round.
//! A probe without an answer is repeated, directly and through helpers, before
//! its target is reported silent.

use super::message::ProbeId;
use crate::ids::InstanceId;
use crate::time::MonotonicTime;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::time::Duration;

/// A probe that waits for its answer.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    /// Its number.
    pub(crate) id: ProbeId,
    /// Who is probed.
    pub(crate) target: InstanceId,
    /// How often it was sent.
    pub(crate) attempts: u32,
    /// How long each attempt waits.
    pub(crate) timeout: Duration,
    /// When the present attempt ends.
    pub(crate) deadline: MonotonicTime,
}

/// An answer that is to be passed on to another instance.
#[derive(Clone, Debug)]
struct Relay {
    id: ProbeId,
    origin: SocketAddr,
    origin_probe: ProbeId,
    expires_at: MonotonicTime,
}

/// Probes whose time is over.
#[derive(Clone, Debug, Default)]
pub(crate) struct Overdue {
    /// To be sent again, with helpers.
    pub(crate) retries: Vec<Probe>,
    /// Silent through all attempts.
    pub(crate) failed: Vec<InstanceId>,
}

/// The probes under way and the order of those to come.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeSchedule {
    last_id: u64,
    round: Vec<InstanceId>,
    waiting: Vec<Probe>,
    relays: Vec<Relay>,
}

impl ProbeSchedule {
    /// Returns the next target; `scope` gives the members of a new round.
    pub(crate) fn next_target(
        &mut self,
        scope: impl Iterator<Item = InstanceId>,
        rng: &mut StdRng,
    ) -> Option<InstanceId> {
        if self.round.is_empty() {
            self.round = scope.collect();
            self.round.shuffle(rng);
        }
        self.round.pop()
    }

    /// Returns a number for a new probe.
    fn next_id(&mut self) -> ProbeId {
        self.last_id += 1;
        ProbeId(self.last_id)
    }

    /// Starts a probe of `target`.
    pub(crate) fn start(
        &mut self,
        target: InstanceId,
        timeout: Duration,
        now: MonotonicTime,
    ) -> ProbeId {
        let id = self.next_id();
        self.waiting.push(Probe {
            id,
            target,
            attempts: 1,
            timeout,
            deadline: now + timeout,
        });
        id
    }

    /// Notes that an answer is to be passed on and returns the number to use.
    pub(crate) fn relay(
        &mut self,
        origin: SocketAddr,
        origin_probe: ProbeId,
        expires_at: MonotonicTime,
    ) -> ProbeId {
        let id = self.next_id();
        self.relays.push(Relay {
            id,
            origin,
            origin_probe,
            expires_at,
        });
        id
    }

    /// Takes an answer in; returns where it is to be passed on, if anywhere.
    pub(crate) fn answered(&mut self, id: ProbeId) -> Option<(SocketAddr, ProbeId)> {
        self.waiting.retain(|probe| probe.id != id);
        let place = self.relays.iter().position(|relay| relay.id == id)?;
        let relay = self.relays.swap_remove(place);
        Some((relay.origin, relay.origin_probe))
    }

    /// Takes out what is overdue after `attempts` attempts each.
    pub(crate) fn overdue(&mut self, attempts: u32, now: MonotonicTime) -> Overdue {
        self.relays.retain(|relay| now < relay.expires_at);
        let mut overdue = Overdue::default();
        self.waiting.retain_mut(|probe| {
            if now < probe.deadline {
                return true;
            }
            if probe.attempts >= attempts {
                overdue.failed.push(probe.target.clone());
                return false;
            }
            probe.attempts += 1;
            probe.deadline = now + probe.timeout;
            overdue.retries.push(probe.clone());
            true
        });
        overdue
    }

    /// Drops all probes under way, as after a pause of this process.
    pub(crate) fn restart(&mut self) {
        self.waiting.clear();
        self.relays.clear();
    }
}
