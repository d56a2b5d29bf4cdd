//! Counts the calls to the store by what they are for.
//!
//! The platform prices each call and bounds their rate, so what causes them has to be
//! seen: as a metric, and as a line that tells what has been called since the last one.

use foxtide_events::{
    EventCode,
    log_event, //
};
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

/// What a call to the store is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallPurpose {
    /// An instance that knows nothing reads what there is.
    Start,
    /// The same by pages that may be old, which the platform prices at a tenth.
    StartStale,
    /// A lease is opened or ended, or a record is written or removed under one.
    Record,
    /// A lease is renewed, which the platform prices at a tenth.
    Renewal,
    /// Changes are waited for.
    Following,
    /// A call after one that failed, or after the store has forgotten its history.
    Recovery,
    /// A request is quarantined, tried again or let through.
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

/// The calls that an instance has made to the store.
#[derive(Debug, Default)]
pub(crate) struct StoreCalls {
    /// Calls by purpose that no line has told yet, in the order of
    /// [`CallPurpose::ALL`].
    unlogged: [AtomicU64; CallPurpose::ALL.len()],
}

impl StoreCalls {
    /// Counts `calls` calls.
    pub(crate) fn count(&self, purpose: CallPurpose, calls: u32) {
        self.unlogged[purpose as usize].fetch_add(calls.into(), Ordering::Relaxed);
        metrics::counter!("foxtide_store_calls_by_purpose_total", "purpose" => purpose.as_str())
            .increment(calls.into());
    }

    /// Writes a line about the calls since the last one, if there were any.
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
