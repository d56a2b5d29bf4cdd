//! Detects requests that crash upstreams, together with the other instances, and
//! quarantines them.
//!
//! Locks: no lock of [`Poison`] is taken while another one or the state is locked.

mod reports;
mod store_writer;

pub(crate) use reports::{
    receive_acknowledgement,
    receive_cleared,
    receive_end_report,
    receive_held,
    receive_lifted,
    receive_quarantine,
    record_served,
    report_upstream_end,
    resend_reports, //
};
pub(crate) use store_writer::sync_quarantine;

use crate::dialect::Dialect;
use crate::journal::state_changes;
use crate::shared::Shared;
use crate::store::Fact;
use event_listener::Event;
use foxtide_core::poison::{
    Acknowledgements,
    Fingerprint,
    HOLD_TIMEOUT,
    Holds,
    Origin,
    Quarantine,
    QuarantineEntry,
    QuarantineStatus,
    Served,
    StoredEntry,
    Suspects, //
};
use foxtide_core::time::MonotonicTime;
use futures_lite::future::or;
use parking_lot::Mutex;
use smol::Timer;
use std::collections::HashMap;
use std::fmt::Display;
use std::time::Duration;
use store_writer::StoreWriter;

/// How long after an end report the instance also reports that the request was served.
const REPORTED_TTL: Duration = Duration::from_secs(60);

/// The maximum number of requests remembered as reported.
const REPORTED_MAX: usize = 1_024;

/// The maximum rate of end reports; bounds the datagrams sent when a zone fails. A request that
/// ends its upstreams needs three reports, and those under way in a lost zone need none.
const REPORTS_PER_S: u32 = 20;

/// The retry delay while another instance runs the trial of a request.
const RETRY_AFTER_TRIAL: Duration = Duration::from_secs(1);

/// How long a request waits for the claim of its trial; a later answer uses up the trial.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);

/// The suspects and the quarantine of an instance.
#[derive(Debug, Default)]
pub(crate) struct Poison {
    suspects: Mutex<Suspects>,
    quarantine: Mutex<Quarantine>,
    /// Requests for which this instance has reported an end, with the expiry of the entry.
    reported: Mutex<HashMap<Fingerprint, MonotonicTime>>,
    /// The reports of this instance that regions have yet to acknowledge.
    acknowledgements: Mutex<Acknowledgements>,
    /// The requests that wait for acknowledgements of a neighbour's report.
    holds: Mutex<Holds>,
    /// Notified when the wait for acknowledgements of a report ends.
    acknowledged: Event,
    served: Served,
    /// The second of the last report and the number of reports in it.
    report_rate: Mutex<(u64, u32)>,
    store_writer: StoreWriter,
}

/// How an admitted request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendPermit {
    /// Like any other request.
    Unrestricted,
    /// Once, as the trial of a quarantined request.
    Trial,
}

impl Poison {
    /// Returns the retry delay of a quarantined request; `None` for any other request.
    pub(crate) fn retry_delay(
        &self,
        fingerprint: Fingerprint,
        now: MonotonicTime,
    ) -> Option<Duration> {
        match self.quarantine.lock().status(fingerprint, now) {
            QuarantineStatus::NotQuarantined => None,
            QuarantineStatus::Quarantined(time) => Some(time),
            QuarantineStatus::TrialDue => Some(RETRY_AFTER_TRIAL),
        }
    }

    /// Returns the entries that the store may lack, which are sent to peers.
    pub(crate) fn unstored(&self) -> Vec<(Fingerprint, QuarantineEntry)> {
        self.quarantine.lock().unstored()
    }

    /// Merges an entry of a peer.
    pub(crate) fn merge_from_peer(
        &self,
        fingerprint: Fingerprint,
        entry: QuarantineEntry,
        from: &dyn Display,
        now: MonotonicTime,
    ) {
        let draw = fastrand::f64();
        let mut quarantine = self.quarantine.lock();
        let is_new = quarantine.merge(fingerprint, entry, Origin::Peer, draw, now);
        drop(quarantine);
        if is_new {
            state_changes::quarantine_learnt(fingerprint, entry, from);
            self.lift(fingerprint);
        }
    }

    /// Tells whether a request is held since a region has yet to acknowledge an end under one of the
    /// same content. One that this instance served before most likely was there by chance.
    pub(crate) fn is_held(&self, fingerprint: Fingerprint, now: MonotonicTime) -> bool {
        let is_awaited = self.acknowledgements.lock().is_awaited(fingerprint);
        let is_held = is_awaited || self.holds.lock().is_held(fingerprint, now);
        is_held && !self.served.contains(fingerprint)
    }

    /// Ends the hold of a request; returns whether it was held for the whole region.
    fn lift(&self, fingerprint: Fingerprint) -> bool {
        let was_held = self.holds.lock().lift(fingerprint);
        self.acknowledged.notify(usize::MAX);
        was_held
    }

    /// Applies changes of the store; returns the newly quarantined requests.
    pub(crate) fn apply(&self, facts: &[Fact], now: MonotonicTime) -> Vec<Fingerprint> {
        let mut new = Vec::new();
        for fact in facts {
            match fact {
                Fact::Quarantined(stored) => {
                    let draw = fastrand::f64();
                    if self.quarantine.lock().merge_stored(stored, draw, now) {
                        state_changes::quarantine_learnt(
                            stored.fingerprint,
                            stored.entry,
                            &"store",
                        );
                        new.push(stored.fingerprint);
                    }
                }
                Fact::Released(fingerprint) => self.release(*fingerprint),
                _ => {}
            }
        }
        new
    }

    /// Syncs with the contents of the store; `is_restored` if it was restored from a backup
    /// since the last read. Returns the newly quarantined requests.
    pub(crate) fn replace(
        &self,
        facts: &[Fact],
        is_restored: bool,
        now: MonotonicTime,
    ) -> Vec<Fingerprint> {
        let stored = facts.iter().filter_map(|fact| match fact {
            Fact::Quarantined(stored) => Some(*stored),
            _ => None,
        });
        let stored: Vec<StoredEntry> = stored.collect();
        let mut quarantine = self.quarantine.lock();
        let new = quarantine.sync_stored(&stored, is_restored, fastrand::f64(), now);
        drop(quarantine);
        for one in stored.iter().filter(|one| new.contains(&one.fingerprint)) {
            state_changes::quarantine_learnt(one.fingerprint, one.entry, &"store");
        }
        new
    }

    /// Drops expired entries.
    pub(crate) fn prune(&self, now: MonotonicTime) {
        self.suspects.lock().prune(now);
        self.reported.lock().retain(|_, &mut until| now < until);
    }

    fn release(&self, fingerprint: Fingerprint) {
        let was_quarantined = self.quarantine.lock().release(fingerprint);
        self.suspects.lock().clear(fingerprint);
        if was_quarantined {
            state_changes::request_released(fingerprint);
        }
    }

    /// Counts an end report; tells whether the rate limit admits it.
    fn may_report(&self, now: MonotonicTime) -> bool {
        let second = now.as_ms() / 1_000;
        let mut report_rate = self.report_rate.lock();
        if report_rate.0 != second {
            *report_rate = (second, 0);
        }
        report_rate.1 += 1;
        report_rate.1 <= REPORTS_PER_S
    }

    fn was_reported(&self, fingerprint: Fingerprint) -> bool {
        self.reported.lock().contains_key(&fingerprint)
    }

    fn record_report(&self, fingerprint: Fingerprint, now: MonotonicTime) {
        let mut reported = self.reported.lock();
        if reported.len() < REPORTED_MAX {
            reported.insert(fingerprint, now + REPORTED_TTL);
        }
    }
}

/// Decides how a request may be sent; claims the trial of a quarantined one if it is due.
///
/// # Errors
///
/// Fails with the retry delay if the request is refused.
pub(crate) async fn admit<D: Dialect>(
    shared: &Shared<D>,
    fingerprint: Fingerprint,
) -> Result<SendPermit, Duration> {
    let poison = &shared.poison;
    let now = shared.clock.now();
    let trial = {
        let mut quarantine = poison.quarantine.lock();
        match quarantine.status(fingerprint, now) {
            QuarantineStatus::NotQuarantined => return Ok(SendPermit::Unrestricted),
            QuarantineStatus::Quarantined(time) => return Err(time),
            QuarantineStatus::TrialDue => {
                let trial = quarantine.next_trial(fingerprint, now);
                trial.inspect(|trial| quarantine.claim(trial, fastrand::f64(), now))
            }
        }
    };
    let Some(trial) = trial else {
        return Err(RETRY_AFTER_TRIAL);
    };
    if claim(poison, trial).await {
        Ok(SendPermit::Trial)
    } else {
        Err(RETRY_AFTER_TRIAL)
    }
}

/// Waits while a request is held.
pub(crate) async fn wait_while_held<D: Dialect>(shared: &Shared<D>, fingerprint: Fingerprint) {
    let poison = &shared.poison;
    loop {
        let lifted = poison.acknowledged.listen();
        if !poison.is_held(fingerprint, shared.clock.now()) {
            return;
        }
        let lapsed = async {
            Timer::after(HOLD_TIMEOUT).await;
        };
        or(lifted, lapsed).await;
    }
}

/// Waits until all regions have acknowledged the last end of a request, or one has failed to; in
/// that case claims the retry of the request that was at the upstream. Returns whether it may be
/// sent although it is quarantined.
pub(crate) async fn await_verdict<D: Dialect>(
    shared: &Shared<D>,
    fingerprint: Fingerprint,
) -> bool {
    let poison = &shared.poison;
    loop {
        let ended = poison.acknowledged.listen();
        if !poison.acknowledgements.lock().is_awaited(fingerprint) {
            break;
        }
        ended.await;
    }
    let retry = poison.quarantine.lock().take_retry(fingerprint);
    let Some(retry) = retry else {
        return false;
    };
    let is_claimed = claim(poison, retry).await;
    if is_claimed {
        let now = shared.clock.now();
        let mut quarantine = poison.quarantine.lock();
        quarantine.record_retry(&retry, fastrand::f64(), now);
    }
    is_claimed
}

/// Claims a trial in the store; returns whether this instance may send the request.
async fn claim(poison: &Poison, trial: StoredEntry) -> bool {
    let late = async {
        Timer::after(CLAIM_TIMEOUT).await;
        false
    };
    let is_claimed = or(poison.store_writer.claim(trial), late).await;
    state_changes::trial_claimed(&trial, is_claimed);
    is_claimed
}
