//! Counts the calls to the store by purpose, as a metric and in log lines.
//!
//! The platform prices calls and limits their rate.

use foxtide_events::{
    EventCode,
    log_event, //
};
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

/// The purpose of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallPurpose {
    /// The initial read of an instance.
    Start,
    /// The initial read from stale pages, which is cheaper.
    StartStale,
    /// Opening or ending a lease, or writing records under one.
    Record,
    /// The renewal of a lease.
    Renewal,
    /// A wait for changes.
    Following,
    /// A call after a failure or a compaction.
    Recovery,
    /// A change of the quarantine.
    Quarantine,
}

impl CallPurpose {
    const ALL: [Self; 7] = [
        Self::Start,
        Self::StartStale,
        Self::Record,
        Self::Renewal,
        Self::Following,
        Self::Recovery,
        Self::Quarantine,
    ];

    const fn as_str(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::StartStale => "start_old",
            Self::Record => "record",
            Self::Renewal => "renewal",
            Self::Following => "following",
            Self::Recovery => "recovery",
            Self::Quarantine => "quarantine",
        }
    }
}

/// The number of calls to the store since the last log line.
#[derive(Debug, Default)]
pub(crate) struct StoreCalls {
    /// Calls by purpose, in the order of [`CallPurpose::ALL`].
    unlogged: [AtomicU64; CallPurpose::ALL.len()],
}

impl StoreCalls {
    /// Counts `calls` calls.
    pub(crate) fn count(&self, purpose: CallPurpose, calls: u32) {
        self.unlogged[purpose as usize].fetch_add(calls.into(), Ordering::Relaxed);
        metrics::counter!("foxtide_store_calls_by_purpose_total", "purpose" => purpose.as_str())
            .increment(calls.into());
    }

    /// Logs the calls since the last log line, if any.
    pub(crate) fn log_summary(&self) {
        let [
            start,
            start_old,
            record,
            renewal,
            following,
            recovery,
            quarantine,
        ] = CallPurpose::ALL.map(|purpose| self.take(purpose));
        if start + start_old + record + renewal + following + recovery + quarantine == 0 {
            return;
        }
        log_event!(
            EventCode::StoreCalls,
            start = start,
            start_old = start_old,
            record = record,
            renewal = renewal,
            following = following,
            recovery = recovery,
            quarantine = quarantine
        );
    }

    fn take(&self, purpose: CallPurpose) -> u64 {
        self.unlogged[purpose as usize].swap(0, Ordering::Relaxed)
    }
}
