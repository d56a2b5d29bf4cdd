//! Suspicion timers: the time in which a suspect may refute before it is declared dead.
//!
//! The timeout starts long and shrinks with each further instance that confirms the
//! suspicion (Lifeguard, section IV-B).

use crate::ids::InstanceId;
use crate::membership::member::Incarnation;
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Bounds of the suspicion timeout.
#[derive(Clone, Copy, Debug)]
pub struct SuspicionBounds {
    /// Timeout after enough confirmations.
    pub shortest: Duration,
    /// Timeout without confirmations.
    pub longest: Duration,
    /// Number of confirmations for the shortest timeout.
    pub confirmations: u32,
}

impl SuspicionBounds {
    /// Returns the timeout after `confirmations`.
    fn timeout(&self, confirmations: u32) -> Duration {
        let needed = f64::from(self.confirmations.max(1));
        let progress = (f64::from(confirmations) + 1.0).ln() / (needed + 1.0).ln();
        let range = self.longest.saturating_sub(self.shortest);
        self.longest
            .saturating_sub(range.mul_f64(progress.clamp(0.0, 1.0)))
    }
}

/// Factor of the timeout if this instance did not observe the failure itself. It covers
/// the few digest intervals after which a lost refutation is corrected.
const INDIRECT_TIMEOUT_FACTOR: u32 = 10;

/// Origin of a suspicion.
#[derive(Clone, Debug)]
pub(crate) enum SuspicionSource {
    /// A failed probe of this instance.
    OwnProbe(InstanceId),
    /// Another instance's report.
    Peer(InstanceId),
    /// A member state without its reporter.
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

#[derive(Clone, Debug)]
struct SuspicionTimer {
    incarnation: Incarnation,
    started_at: MonotonicTime,
    confirmed_by: Vec<InstanceId>,
    /// Whether a probe of this instance failed.
    observed: bool,
}

/// All running suspicion timers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspicions {
    timers: BTreeMap<InstanceId, SuspicionTimer>,
}

impl Suspicions {
    /// Starts a timer, or adds `source` as a confirmation of the running one; returns
    /// whether it was new.
    pub(crate) fn suspect(
        &mut self,
        subject: &InstanceId,
        incarnation: Incarnation,
        source: &SuspicionSource,
        now: MonotonicTime,
    ) -> bool {
        let timer = self.timers.get_mut(subject);
        let Some(timer) = timer.filter(|timer| timer.incarnation >= incarnation) else {
            let started = SuspicionTimer {
                incarnation,
                started_at: now,
                confirmed_by: source.by().cloned().into_iter().collect(),
                observed: matches!(source, SuspicionSource::OwnProbe(_)),
            };
            self.timers.insert(subject.clone(), started);
            return true;
        };
        timer.observed |= matches!(source, SuspicionSource::OwnProbe(_));
        let Some(by) = source.by() else {
            return false;
        };
        let is_new = !timer.confirmed_by.contains(by);
        if is_new {
            timer.confirmed_by.push(by.clone());
        }
        is_new
    }

    /// Cancels the timer of `subject`.
    pub(crate) fn cancel(&mut self, subject: &InstanceId) {
        self.timers.remove(subject);
    }

    /// Returns the suspects that failed a probe of this instance.
    pub(crate) fn observed(&self) -> impl Iterator<Item = &InstanceId> {
        let observed = self.timers.iter().filter(|(_, timer)| timer.observed);
        observed.map(|(subject, _)| subject)
    }

    /// Removes and returns the suspects whose timeout has expired.
    pub(crate) fn take_expired(
        &mut self,
        bounds: &SuspicionBounds,
        now: MonotonicTime,
    ) -> Vec<InstanceId> {
        let is_expired = |timer: &SuspicionTimer| {
            let others = timer.confirmed_by.len().saturating_sub(1);
            let timeout = bounds.timeout(u32::try_from(others).unwrap_or(u32::MAX));
            let factor = if timer.observed {
                1
            } else {
                INDIRECT_TIMEOUT_FACTOR
            };
            now >= timer.started_at + timeout * factor
        };
        let expired = self.timers.extract_if(.., |_, timer| is_expired(timer));
        expired.map(|(subject, _)| subject).collect()
    }

    /// Restarts all timers, as after a pause of this process.
    pub(crate) fn restart(&mut self, now: MonotonicTime) {
        for timer in self.timers.values_mut() {
            timer.started_at = now;
        }
    }
}
