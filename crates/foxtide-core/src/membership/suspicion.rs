//! How long a silent instance may object before it counts as dead.
//!
//! Dadgar, Phillips and Currey, "Lifeguard" (2018), section IV-B: the wait
//! starts long and shrinks with each further instance that suspects the same.

use crate::ids::InstanceId;
use crate::membership::member::Incarnation;
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Bounds of the wait.
#[derive(Clone, Copy, Debug)]
pub struct SuspicionBounds {
    /// The wait when enough others agree.
    pub shortest: Duration,
    /// The wait while nobody else agrees.
    pub longest: Duration,
    /// How many others are enough.
    pub confirmations: u32,
}

impl SuspicionBounds {
    /// Returns the wait after `confirmations` others agreed.
    fn wait(&self, confirmations: u32) -> Duration {
        let enough = f64::from(self.confirmations.max(1));
        let part = (f64::from(confirmations) + 1.0).ln() / (enough + 1.0).ln();
        let range = self.longest.saturating_sub(self.shortest);
        self.longest
            .saturating_sub(range.mul_f64(part.clamp(0.0, 1.0)))
    }
}

/// How many times longer those wait that only heard of it.
///
/// They may have missed the objection. Those that saw the silence tell them how
/// it ended; where that is lost too, comparing with peers does, which takes a few
/// of its intervals.
const INDIRECT_TIMEOUT_FACTOR: u32 = 10;

/// Who found an instance silent.
#[derive(Clone, Debug)]
pub(crate) enum SuspicionSource {
    /// This instance, by its own probe.
    OwnProbe(InstanceId),
    /// Another one.
    Peer(InstanceId),
    /// It is not known who.
    Unknown,
}

impl SuspicionSource {
    fn by(&self) -> Option<&InstanceId> {
        match self {
            Self::OwnProbe(by) | Self::Peer(by) => Some(by),
            Self::Unknown => None,
        }
    }
}

/// One running wait.
#[derive(Clone, Debug)]
struct SuspicionTimer {
    incarnation: Incarnation,
    started_at: MonotonicTime,
    confirmed_by: Vec<InstanceId>,
    /// Whether this instance found the subject silent itself.
    observed: bool,
}

/// All running waits.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspicions {
    running: BTreeMap<InstanceId, SuspicionTimer>,
}

impl Suspicions {
    /// Starts a wait, or counts the `source` as agreeing with the one that
    /// runs; returns whether that was new.
    pub(crate) fn suspect(
        &mut self,
        subject: &InstanceId,
        incarnation: Incarnation,
        source: &SuspicionSource,
        now: MonotonicTime,
    ) -> bool {
        let running = self.running.get_mut(subject);
        let Some(running) = running.filter(|running| running.incarnation >= incarnation) else {
            let started = SuspicionTimer {
                incarnation,
                started_at: now,
                confirmed_by: source.by().cloned().into_iter().collect(),
                observed: matches!(source, SuspicionSource::OwnProbe(_)),
            };
            self.running.insert(subject.clone(), started);
            return true;
        };
        running.observed |= matches!(source, SuspicionSource::OwnProbe(_));
        let Some(by) = source.by() else {
            return false;
        };
        let fresh = !running.confirmed_by.contains(by);
        if fresh {
            running.confirmed_by.push(by.clone());
        }
        fresh
    }

    /// Ends the wait for `subject`.
    pub(crate) fn end(&mut self, subject: &InstanceId) {
        self.running.remove(subject);
    }

    /// Returns those that this instance found silent itself.
    pub(crate) fn observed(&self) -> impl Iterator<Item = &InstanceId> {
        let observed = self.running.iter().filter(|(_, running)| running.observed);
        observed.map(|(subject, _)| subject)
    }

    /// Takes out those whose wait is over.
    pub(crate) fn expired(
        &mut self,
        bounds: &SuspicionBounds,
        now: MonotonicTime,
    ) -> Vec<InstanceId> {
        let over = |running: &SuspicionTimer| {
            let others = running.confirmed_by.len().saturating_sub(1);
            let wait = bounds.wait(u32::try_from(others).unwrap_or(u32::MAX));
            let times = if running.observed {
                1
            } else {
                INDIRECT_TIMEOUT_FACTOR
            };
            now >= running.started_at + wait * times
        };
        let expired = self.running.extract_if(.., |_, running| over(running));
        expired.map(|(subject, _)| subject).collect()
    }

    /// Lets all waits begin anew, as after a pause of this process.
    pub(crate) fn restart(&mut self, now: MonotonicTime) {
        for running in self.running.values_mut() {
            running.started_at = now;
        }
    }
}
