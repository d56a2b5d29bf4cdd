//! One instance of a scenario.

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

/// The wall clock's reading when a scenario begins, 2025-01-01 in UTC.
const EPOCH: WallTime = WallTime::from_ms(1_735_689_600_000);

/// The wall clocks of instances are off by up to this, either way.
const SKEW_MAX: Duration = Duration::from_millis(200);

/// How many different skews there are.
const SKEWS: usize = 5;

/// How long after its end an instance still stands on the platform's list.
pub(super) const LIST_LAG: Duration = Duration::from_secs(20);

/// Returns the true wall clock's reading.
pub(super) fn true_wall(now: MonotonicTime) -> WallTime {
    EPOCH + (now - MonotonicTime::ZERO)
}

/// What an instance is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Condition {
    /// It runs.
    Running,
    /// Its process stands still until then.
    Paused {
        /// When it wakes.
        until: MonotonicTime,
    },
    /// It takes no new callers and ends what is in flight.
    Leaving,
    /// Its process is gone.
    Ended {
        /// Since when.
        since: MonotonicTime,
    },
}

/// One instance: its place and the process that runs on it, if any.
#[derive(Debug)]
pub(super) struct ModelInstance {
    pub(super) id: InstanceId,
    pub(super) region: RegionId,
    pub(super) zone: AvailabilityZoneId,
    pub(super) address: SocketAddr,
    pub(super) condition: Condition,
    pub(super) process: Option<Process>,
    /// How many processes have run on it.
    pub(super) starts: u64,
    /// When the process started.
    pub(super) started_at: MonotonicTime,
    /// When it last woke from a pause, or was last cut off from a region.
    pub(super) disturbed_at: MonotonicTime,
    index: usize,
}

impl ModelInstance {
    /// Returns an instance without a process.
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

    /// Returns the instance as it presents itself when its process starts.
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

    /// Returns the seed of the process that runs now.
    pub(super) fn seed(&self) -> u64 {
        self.index as u64 * 1_000 + self.starts
    }

    /// Returns what its wall clock shows.
    pub(super) fn wall(&self, now: MonotonicTime) -> WallTime {
        let spacing = SKEW_MAX * 2 / (SKEWS as u32 - 1);
        let behind = spacing * (self.index % SKEWS) as u32;
        (true_wall(now) + SKEW_MAX).saturating_sub(behind)
    }

    /// Tells whether a caller's connection is taken.
    pub(super) fn takes_connections(&self) -> bool {
        matches!(
            self.condition,
            Condition::Running | Condition::Paused { .. }
        )
    }

    /// Tells whether its process runs now.
    pub(super) fn is_awake(&self) -> bool {
        matches!(self.condition, Condition::Running | Condition::Leaving)
    }

    /// Returns when its process wakes, if it is paused.
    pub(super) fn wakes_at(&self) -> Option<MonotonicTime> {
        match self.condition {
            Condition::Paused { until } => Some(until),
            _ => None,
        }
    }

    /// Tells whether the platform's list shows it no more.
    pub(super) fn is_unlisted(&self, now: MonotonicTime) -> bool {
        match self.condition {
            Condition::Ended { since } => now >= since + LIST_LAG,
            _ => false,
        }
    }
}
