//! Simulates an instance: its condition, its clock and its identity as a member.

use super::process::Process;
use foxtide_core::idempotency::ProcessNumber;
use foxtide_core::ids::{
    AvailabilityZoneId,
    InstanceId,
    RegionId, //
};
use foxtide_core::membership::{
    Incarnation,
    Member,
    MemberState, //
};
use foxtide_core::time::{
    MonotonicTime,
    WallTime, //
};
use std::net::SocketAddr;
use std::time::Duration;

/// Wall-clock time at the start of a scenario, 2025-01-01 in UTC.
const EPOCH: WallTime = WallTime::from_ms(1_735_689_600_000);

/// Largest deviation of an instance's wall clock in either direction.
const SKEW_MAX: Duration = Duration::from_millis(200);

/// Number of different clock skews.
const SKEWS: usize = 5;

/// Time for which the platform's list still shows an instance that has ended.
pub(super) const LIST_LAG: Duration = Duration::from_secs(20);

/// Returns the wall-clock time without skew.
pub(super) fn true_wall(now: MonotonicTime) -> WallTime {
    EPOCH + (now - MonotonicTime::ZERO)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Condition {
    Running,
    /// Its process is paused.
    Paused {
        until: MonotonicTime,
    },
    /// It accepts no new connections and completes the requests in flight.
    Leaving,
    /// Its process has ended.
    Ended {
        since: MonotonicTime,
    },
}

/// An instance and the process that runs on it, if any.
#[derive(Debug)]
pub(super) struct ModelInstance {
    pub(super) id: InstanceId,
    pub(super) region: RegionId,
    pub(super) zone: AvailabilityZoneId,
    pub(super) address: SocketAddr,
    pub(super) condition: Condition,
    pub(super) process: Option<Process>,
    /// The number of processes started so far.
    pub(super) starts: u64,
    /// When the latest process started.
    pub(super) started_at: MonotonicTime,
    /// When it last resumed from a pause, or a cut link of its region was last restored.
    pub(super) disturbed_at: MonotonicTime,
    index: usize,
}

impl ModelInstance {
    pub(super) fn new(
        index: usize,
        id: InstanceId,
        region: RegionId,
        zone: AvailabilityZoneId,
        address: SocketAddr,
    ) -> Self {
        Self {
            id,
            region,
            zone,
            address,
            condition: Condition::Ended {
                since: MonotonicTime::ZERO,
            },
            process: None,
            starts: 0,
            started_at: MonotonicTime::ZERO,
            disturbed_at: MonotonicTime::ZERO,
            index,
        }
    }

    /// Returns the member that a newly started process announces.
    pub(super) fn member(&self) -> Member {
        Member {
            instance: self.id.clone(),
            region: self.region.clone(),
            availability_zone: self.zone.clone(),
            peer_address: self.address,
            caller_address: self.address,
            process: ProcessNumber::new(self.seed()),
            incarnation: Incarnation::new(self.starts * 1_000),
            state: MemberState::Alive,
        }
    }

    /// Returns the seed of the current process, which differs between instances and
    /// restarts.
    pub(super) fn seed(&self) -> u64 {
        self.index as u64 * 1_000 + self.starts
    }

    /// Returns the time on its skewed wall clock.
    pub(super) fn wall(&self, now: MonotonicTime) -> WallTime {
        let spacing = SKEW_MAX * 2 / (SKEWS as u32 - 1);
        let behind = spacing * (self.index % SKEWS) as u32;
        (true_wall(now) + SKEW_MAX).saturating_sub(behind)
    }

    /// Returns whether it accepts connections; a paused process does so without
    /// answering.
    pub(super) fn takes_connections(&self) -> bool {
        matches!(
            self.condition,
            Condition::Running | Condition::Paused { .. }
        )
    }

    /// Returns whether its process is running and not paused.
    pub(super) fn is_awake(&self) -> bool {
        matches!(self.condition, Condition::Running | Condition::Leaving)
    }

    /// Returns the end of its pause.
    pub(super) fn wakes_at(&self) -> Option<MonotonicTime> {
        match self.condition {
            Condition::Paused { until } => Some(until),
            _ => None,
        }
    }

    /// Returns whether the platform's list no longer shows it.
    pub(super) fn is_unlisted(&self, now: MonotonicTime) -> bool {
        match self.condition {
            Condition::Ended { since } => now >= since + LIST_LAG,
            _ => false,
        }
    }
}
