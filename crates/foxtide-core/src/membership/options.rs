//! Settings of the membership protocol.

use super::suspicion::SuspicionBounds;
use std::time::Duration;

/// Settings of the membership protocol; equal on all instances.
#[derive(Clone, Copy, Debug)]
pub struct MembershipOptions {
    /// Interval between probes of this instance. Default 200 ms.
    pub probe_interval: Duration,
    /// Timeout of a probe within the instance's zone. Default 100 ms.
    pub near_timeout: Duration,
    /// Timeout of a probe of another zone; must exceed the round trip between the most
    /// distant regions. Default 200 ms.
    pub far_timeout: Duration,
    /// Attempts before a probe fails. Default 3.
    pub probe_attempts: u32,
    /// Members asked to probe indirectly at each retry. Default 3.
    pub indirect_probes: usize,
    /// Time in which a suspect may refute. Default 0.6 s to 1.2 s, three confirmations.
    pub suspicion: SuspicionBounds,
    /// Gossip interval. Default 100 ms.
    pub rumour_interval: Duration,
    /// Receivers of each gossip round. Default 3.
    pub rumour_fanout: usize,
    /// Transmissions of a rumour per logarithm of the scope's size. Default 2.
    pub rumour_factor: u32,
    /// Interval between digests. Default 4 s.
    pub digest_interval: Duration,
    /// Delegates of each zone. Default 2.
    pub delegates_per_zone: usize,
    /// Interval between attempts to contact a dead member. Default 1 s.
    pub reconnect_interval: Duration,
    /// Time for which dead members are kept; must exceed the longest partition that is
    /// expected to heal. Default 2 h.
    pub dead_retention: Duration,
    /// Gap between two ticks that counts as a pause of the process. Default 1 s.
    pub pause_limit: Duration,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(200),
            near_timeout: Duration::from_millis(100),
            far_timeout: Duration::from_millis(200),
            probe_attempts: 3,
            indirect_probes: 3,
            suspicion: SuspicionBounds {
                shortest: Duration::from_millis(600),
                longest: Duration::from_millis(1_200),
                confirmations: 3,
            },
            rumour_interval: Duration::from_millis(100),
            rumour_fanout: 3,
            rumour_factor: 2,
            digest_interval: Duration::from_secs(4),
            delegates_per_zone: 2,
            reconnect_interval: Duration::from_secs(1),
            dead_retention: Duration::from_secs(2 * 60 * 60),
            pause_limit: Duration::from_secs(1),
        }
    }
}
