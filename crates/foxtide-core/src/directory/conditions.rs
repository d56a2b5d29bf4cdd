//! What an instance knows of the condition of others, from their datagrams.

use crate::time::MonotonicTime;
use crate::units::Share;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The age of an instance's last datagram after which it is probed.
const HEARD_AGE_MAX: Duration = Duration::from_millis(400);

/// How long the answer to a probe may take: several round trips within a region.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// The consecutive probes without an answer after which an instance is in doubt. Links that lose 3 %
/// of the datagrams lose three probes in a row or their answers once in 4,600 times.
const FAILED_PROBES_MAX: u32 = 3;

/// How long an instance in doubt must answer before it is trusted again.
const RECOVERY_TIME: Duration = Duration::from_secs(1);

/// The age at which a reported utilisation expires.
const UTILISATION_AGE_MAX: Duration = Duration::from_secs(3);

/// What is known of one instance.
#[derive(Clone, Copy, Debug, Default)]
struct Condition {
    heard_at: Option<MonotonicTime>,
    /// When the last probe was sent that has no answer yet.
    probed_at: Option<MonotonicTime>,
    failed_probes: u32,
    is_doubted: bool,
    /// Since when an instance in doubt has answered without a gap.
    answers_since: Option<MonotonicTime>,
    utilisation: Option<(Share, MonotonicTime)>,
}

impl Condition {
    fn record_datagram(&mut self, now: MonotonicTime) {
        self.heard_at = Some(now);
        self.probed_at = None;
        self.failed_probes = 0;
        if self.is_doubted {
            self.answers_since.get_or_insert(now);
        }
    }

    /// Draws the conclusions that are due.
    fn advance(&mut self, now: MonotonicTime) {
        if self.probed_at.is_some_and(|at| now - at >= ANSWER_TIME) {
            self.probed_at = None;
            self.failed_probes += 1;
            self.answers_since = None;
        }
        if self.failed_probes >= FAILED_PROBES_MAX {
            self.is_doubted = true;
        }
        if self
            .answers_since
            .is_some_and(|since| now - since >= RECOVERY_TIME)
        {
            self.is_doubted = false;
            self.answers_since = None;
        }
    }

    fn is_probe_due(&self, now: MonotonicTime) -> bool {
        let is_recent = |at: MonotonicTime| now - at < HEARD_AGE_MAX;
        self.probed_at.is_none() && !self.heard_at.is_some_and(is_recent)
    }
}

/// The conditions of other instances, by their addresses for datagrams.
#[derive(Clone, Debug, Default)]
pub struct Conditions {
    peers: HashMap<SocketAddr, Condition>,
}

impl Conditions {
    /// Records a datagram of any kind from an instance.
    pub fn record_datagram(&mut self, peer: SocketAddr, now: MonotonicTime) {
        if let Some(condition) = self.peers.get_mut(&peer) {
            condition.record_datagram(now);
        }
    }

    /// Records the utilisation that an instance reports of its most used resource.
    pub fn record_utilisation(&mut self, peer: SocketAddr, utilisation: Share, now: MonotonicTime) {
        if let Some(condition) = self.peers.get_mut(&peer) {
            condition.record_datagram(now);
            condition.utilisation = Some((utilisation, now));
        }
    }

    /// Returns up to `count` of the instances that are to be probed now, and records the probes.
    /// Those with failed probes come first, then those not heard of for the longest time.
    pub fn take_probes(
        &mut self,
        peers: impl Iterator<Item = SocketAddr>,
        count: usize,
        now: MonotonicTime,
    ) -> Vec<SocketAddr> {
        let mut due: Vec<SocketAddr> = Vec::new();
        for peer in peers {
            let condition = self.peers.entry(peer).or_default();
            condition.advance(now);
            if condition.is_probe_due(now) {
                due.push(peer);
            }
        }
        due.sort_by_key(|peer| {
            let condition = &self.peers[peer];
            (condition.failed_probes == 0, condition.heard_at)
        });
        due.truncate(count);
        for peer in &due {
            if let Some(condition) = self.peers.get_mut(peer) {
                condition.probed_at = Some(now);
            }
        }
        due
    }

    /// Returns whether an instance is in doubt: it has left several probes unanswered, or has
    /// answered again for a short time only.
    pub fn is_doubted(&mut self, peer: SocketAddr, now: MonotonicTime) -> bool {
        self.peers.get_mut(&peer).is_some_and(|condition| {
            condition.advance(now);
            condition.is_doubted
        })
    }

    /// Returns the utilisation that an instance reported recently.
    pub fn utilisation(&self, peer: SocketAddr, now: MonotonicTime) -> Option<Share> {
        let (utilisation, at) = self.peers.get(&peer)?.utilisation?;
        (now - at < UTILISATION_AGE_MAX).then_some(utilisation)
    }

    /// Forgets the instances that `is_known` does not accept.
    pub fn retain(&mut self, is_known: impl Fn(SocketAddr) -> bool) {
        self.peers.retain(|peer, _| is_known(*peer));
    }
}
