//! Settings of the membership protocol.

use super::suspicion::SuspicionBounds;
use std::time::Duration;

/// Settings of the membership protocol; equal on all instances.
#[derive(Clone, Copy, Debug)]
pub struct MembershipOptions {
    /// Time between two probes that an instance starts. Default 200 ms.
    pub probe_interval: Duration,
    /// Wait for an answer from the own zone. Default 100 ms.
    pub near_timeout: Duration,
    /// Wait for an answer from another zone; over the round trip between the
    /// regions furthest apart. Default 200 ms.
    pub far_timeout: Duration,
    /// How often a probe is sent before its target is silent. Default 3.
    pub probe_attempts: u32,
    /// Helpers asked at each repeated attempt. Default 3.
    pub indirect_probes: usize,
    /// How long a silent instance may object. Default 0.6 s to 1.2 s, three
    /// confirmations.
    pub suspicion: SuspicionBounds,
    /// Time between two packets of rumours. Default 100 ms.
    pub rumour_interval: Duration,
    /// Members told in each interval. Default 3.
    pub rumour_fanout: usize,
    /// A rumour goes out this often times the logarithm of those in scope.
    /// Default 2.
    pub rumour_factor: u32,
    /// Time between two comparisons with a peer. Default 4 s.
    pub digest_interval: Duration,
    /// Delegates of each zone. Default 2.
    pub delegates_per_zone: usize,
    /// Time between two attempts to reach a dead member again. Default 1 s.
    pub reconnect_interval: Duration,
    /// How long a dead member is remembered; longer than regions lose each
    /// other. Default 2 h.
    pub dead_retention: Duration,
    /// A gap between two ticks that counts as a pause of the process.
    /// Default 1 s.
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
