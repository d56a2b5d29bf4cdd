//! Schedule of probes and their retries.
//!
//! Each interval probes the next target of a shuffled round (SWIM, sections 3.1 and
//! 4.3). An unanswered probe is repeated directly and through helpers before it fails.

use super::message::ProbeId;
use crate::ids::InstanceId;
use crate::time::MonotonicTime;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::time::Duration;

/// A probe that awaits its answer.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub(crate) id: ProbeId,
    pub(crate) target: InstanceId,
    /// Number of attempts so far.
    pub(crate) attempts: u32,
    /// Timeout of each attempt.
    pub(crate) timeout: Duration,
    /// End of the current attempt.
    pub(crate) deadline: MonotonicTime,
}

/// A pending indirect probe on behalf of another instance.
#[derive(Clone, Debug)]
struct Relay {
    id: ProbeId,
    origin: SocketAddr,
    origin_probe: ProbeId,
    expires_at: MonotonicTime,
}

/// Probes whose current attempt timed out.
#[derive(Clone, Debug, Default)]
pub(crate) struct Overdue {
    /// Probes to repeat, also through helpers.
    pub(crate) retries: Vec<Probe>,
    /// Targets that answered no attempt.
    pub(crate) failed: Vec<InstanceId>,
}

/// Pending probes and the order of the next ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeSchedule {
    last_id: u64,
    round: Vec<InstanceId>,
    pending: Vec<Probe>,
    relays: Vec<Relay>,
}

impl ProbeSchedule {
    /// Returns the next target; `scope` provides the members of a new round.
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

    fn next_id(&mut self) -> ProbeId {
        self.last_id += 1;
        ProbeId(self.last_id)
    }

    pub(crate) fn start(
        &mut self,
        target: InstanceId,
        timeout: Duration,
        now: MonotonicTime,
    ) -> ProbeId {
        let id = self.next_id();
        self.pending.push(Probe {
            id,
            target,
            attempts: 1,
            timeout,
            deadline: now + timeout,
        });
        id
    }

    /// Registers an indirect probe and returns its local number.
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

    /// Completes a probe; returns the origin and number of a relayed one.
    pub(crate) fn complete(&mut self, id: ProbeId) -> Option<(SocketAddr, ProbeId)> {
        self.pending.retain(|probe| probe.id != id);
        let index = self.relays.iter().position(|relay| relay.id == id)?;
        let relay = self.relays.swap_remove(index);
        Some((relay.origin, relay.origin_probe))
    }

    /// Removes expired relays and returns the timed-out probes, which fail after
    /// `attempts` attempts.
    pub(crate) fn take_overdue(&mut self, attempts: u32, now: MonotonicTime) -> Overdue {
        self.relays.retain(|relay| now < relay.expires_at);
        let mut overdue = Overdue::default();
        self.pending.retain_mut(|probe| {
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

    /// Drops all pending probes, as after a pause of this process.
    pub(crate) fn clear(&mut self) {
        self.pending.clear();
        self.relays.clear();
    }
}
