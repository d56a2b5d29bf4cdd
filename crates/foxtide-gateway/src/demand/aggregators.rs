//! Chooses the aggregators to report to.

use foxtide_core::time::MonotonicTime;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long the first aggregator may be silent before the second is asked too: two answers in a row
/// may be lost.
const SILENCE_MAX: Duration = Duration::from_secs(3);

/// The aggregators of the own region, and since when they are silent.
#[derive(Debug, Default)]
pub(super) struct Aggregators {
    /// The time of the last answer, or of the first report.
    silent_since: HashMap<SocketAddr, MonotonicTime>,
}

impl Aggregators {
    /// Returns those of `ranked` that get the report: the first, and the others while it is silent.
    pub(super) fn addressees<'a>(
        &mut self,
        ranked: &'a [SocketAddr],
        now: MonotonicTime,
    ) -> &'a [SocketAddr] {
        self.silent_since.retain(|known, _| ranked.contains(known));
        let Some(first) = ranked.first() else {
            return &[];
        };
        let silent_since = *self.silent_since.entry(*first).or_insert(now);
        if now - silent_since >= SILENCE_MAX {
            ranked
        } else {
            &ranked[..1]
        }
    }

    /// Records an answer.
    pub(super) fn record_answer(&mut self, from: SocketAddr, now: MonotonicTime) {
        self.silent_since.insert(from, now);
    }
}
