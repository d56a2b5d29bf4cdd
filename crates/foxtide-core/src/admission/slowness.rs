//! The recent slowness of an upstream's machine.

use crate::placement::Slowness;
use crate::time::MonotonicTime;
use std::collections::VecDeque;
use std::time::Duration;

/// How long a figure is believed. Slow phases of machines last about 0.6 s.
const BELIEVED_FOR: Duration = Duration::from_millis(600);

/// The factor of a machine whose slowness is unknown.
const USUAL_FACTOR: f64 = 1.0;

/// The number of figures remembered. They cover the longest requests of an upstream that ends 20 of
/// them a second for 3 s.
const FIGURES_MAX: usize = 64;

/// A figure and when it was heard.
#[derive(Clone, Copy, Debug)]
struct Figure {
    factor: f64,
    heard_at: MonotonicTime,
}

/// The latest figures of an upstream's slowness.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentSlowness {
    /// Oldest first.
    figures: VecDeque<Figure>,
    now: MonotonicTime,
}

impl RecentSlowness {
    /// Sets the time at which [`Self::factor`] is asked for.
    pub(super) fn advance(&mut self, now: MonotonicTime) {
        self.now = self.now.max(now);
    }

    /// Records a figure, if the upstream reported one.
    pub(super) fn record(&mut self, slowness: Option<Slowness>, now: MonotonicTime) {
        self.advance(now);
        let Some(slowness) = slowness else {
            return;
        };
        if self.figures.len() >= FIGURES_MAX {
            self.figures.pop_front();
        }
        self.figures.push_back(Figure {
            factor: slowness.factor(),
            heard_at: self.now,
        });
    }

    /// Returns the factor of the latest figure; 1 if there is none or it is too old.
    pub(super) fn factor(&self) -> f64 {
        match self.figures.back() {
            Some(latest) if self.now - latest.heard_at < BELIEVED_FOR => latest.factor,
            _ => USUAL_FACTOR,
        }
    }

    /// Returns the time that the work of a period takes on the machine at its usual speed.
    ///
    /// At each moment the figure counts that was heard nearest to it, before or after, within the
    /// time for which figures are believed. So a request that was the first to be slow is not
    /// mistaken for one that takes long.
    pub(super) fn usual_time(&self, from: MonotonicTime, to: MonotonicTime) -> Duration {
        let mut usual_time = to - from;
        for (index, figure) in self.figures.iter().enumerate() {
            let previous = index
                .checked_sub(1)
                .and_then(|index| self.figures.get(index));
            let next = self.figures.get(index + 1);
            let begins_at = previous.map_or(MonotonicTime::ZERO, |one| middle(*one, *figure));
            let begins_at = begins_at
                .max(figure.heard_at.saturating_sub(BELIEVED_FOR))
                .max(from);
            let ends_at = figure.heard_at + BELIEVED_FOR;
            let ends_at = next
                .map_or(ends_at, |one| ends_at.min(middle(*figure, *one)))
                .min(to);
            let time = ends_at - begins_at;
            usual_time = usual_time.saturating_sub(time) + time.div_f64(figure.factor);
        }
        usual_time
    }
}

/// Returns the moment between two figures.
fn middle(earlier: Figure, later: Figure) -> MonotonicTime {
    earlier.heard_at + (later.heard_at - earlier.heard_at) / 2
}
