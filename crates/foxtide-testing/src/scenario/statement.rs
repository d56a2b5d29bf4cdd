//! Statements about what callers and upstreams of a scenario saw.

use super::fleet::Fleet;
use super::operation::{
    Kind,
    Operation,
    Told, //
};
use foxtide_core::ids::{
    RegionId,
    ServiceId,
    UpstreamId, //
};
use foxtide_core::time::MonotonicTime;
use std::time::Duration;

/// The requests that a statement is about.
#[derive(Clone, Debug)]
pub(super) struct Selection {
    /// Of this service.
    pub(super) service: ServiceId,
    /// Of this kind.
    pub(super) kind: Kind,
    /// That ended, or had to end, in this time before now.
    pub(super) last: Duration,
}

/// A statement does not hold.
#[derive(Clone, Debug, thiserror::Error)]
pub(super) enum StatementError {
    /// There is nothing that the statement is about.
    #[error("nothing to judge: {0}")]
    Nothing(String),
    /// A figure lies outside what was stated.
    #[error("{what} is {found}, stated {stated}")]
    Figure {
        /// What was measured.
        what: String,
        /// What was found.
        found: String,
        /// What was stated.
        stated: String,
    },
}

impl StatementError {
    fn figure(what: impl ToString, found: impl ToString, stated: impl ToString) -> Self {
        Self::Figure {
            what: what.to_string(),
            found: found.to_string(),
            stated: stated.to_string(),
        }
    }
}

impl Fleet {
    fn selected(&self, selection: &Selection) -> Result<Vec<&Operation>, StatementError> {
        let service = self.organisation.service(&selection.service);
        let deadline = service.map_or(Duration::ZERO, |service| service.contract.deadline());
        let until = self.now.saturating_sub(deadline);
        let since = until.saturating_sub(selection.last);
        let in_time = |operation: &&Operation| {
            operation.arrived_at > since
                && operation.arrived_at <= until
                && operation.service == selection.service
                && operation.kind == selection.kind
        };
        let selected: Vec<&Operation> = self.operations.values().filter(in_time).collect();
        if selected.is_empty() {
            let what = format!("no {} of {}", selection.kind, selection.service);
            return Err(StatementError::Nothing(what));
        }
        Ok(selected)
    }

    /// Checks that at least this part of the requests ended this way.
    pub(super) fn check_told(
        &self,
        selection: &Selection,
        told: Told,
        least: f64,
        most: f64,
    ) -> Result<(), StatementError> {
        let selected = self.selected(selection)?;
        let ended = selected.iter().filter(|o| o.told == Some(told));
        let part = ended.count() as f64 / selected.len() as f64;
        if (least..=most).contains(&part) {
            return Ok(());
        }
        let what = format!("the part of {} told {told}", selection.service);
        let reasons = &self.record.refusals;
        let what = format!("{what} ({}; refused so far: {reasons:?})", ends(&selected));
        let stated = format!("{least} to {most}");
        Err(StatementError::figure(what, format!("{part:.3}"), stated))
    }

    /// Checks that 99 of 100 answers came within this time.
    pub(super) fn check_latency(
        &self,
        selection: &Selection,
        p99: Duration,
    ) -> Result<(), StatementError> {
        let selected = self.selected(selection)?;
        let done = selected.iter().filter(|o| o.told == Some(Told::Done));
        let mut times: Vec<Duration> = done.map(|o| o.told_at - o.arrived_at).collect();
        times.sort();
        let index = (times.len() * 99).div_ceil(100).saturating_sub(1);
        let found = times.get(index).copied().unwrap_or(Duration::MAX);
        if found <= p99 {
            return Ok(());
        }
        let what = format!("the 99th percentile of {}", selection.service);
        Err(StatementError::figure(
            what,
            format!("{found:?}"),
            format!("{p99:?}"),
        ))
    }

    /// Checks which share of a service's requests goes to a region now.
    pub(super) fn check_share(
        &self,
        service: &ServiceId,
        region: &RegionId,
        least: f64,
        most: f64,
    ) -> Result<(), StatementError> {
        let rows = self.record.rows.iter().rev();
        let latest = rows
            .clone()
            .next()
            .map_or(MonotonicTime::ZERO, |row| row.at);
        let rows = rows.take_while(|row| row.at == latest);
        let mut sent = 0.0;
        let mut arrived = 0.0;
        for row in rows.filter(|row| row.service == *service) {
            let arrivals = f64::from(row.arrivals);
            sent += arrivals * row.row.get(region).copied().unwrap_or(0.0);
            arrived += arrivals;
        }
        let share = if arrived > 0.0 { sent / arrived } else { 0.0 };
        if (least..=most).contains(&share) {
            return Ok(());
        }
        let what = format!("the share of {region} in {service}");
        let stated = format!("{least} to {most}");
        Err(StatementError::figure(what, format!("{share:.3}"), stated))
    }

    /// Checks how many requests an upstream got in the time before now.
    pub(super) fn check_received(
        &self,
        upstream: &UpstreamId,
        last: Duration,
        least: u32,
        most: u32,
    ) -> Result<(), StatementError> {
        let series = self.record.upstreams.get(upstream);
        let since = self.now.saturating_sub(last);
        let got = series.map_or(0, |series| series.between(since, self.now));
        if (least..=most).contains(&got) {
            return Ok(());
        }
        let what = format!("the requests that {upstream} got");
        Err(StatementError::figure(
            what,
            got,
            format!("{least} to {most}"),
        ))
    }

    /// Checks that a revision is in force on every instance that runs.
    pub(super) fn check_revision(&self, revision: u64) -> Result<(), StatementError> {
        for instance in self.instances.iter().filter(|i| i.is_awake()) {
            let held = instance.process.as_ref().and_then(|p| p.revision());
            if held.map(|held| held.get()) != Some(revision) {
                let what = format!("the revision on {}", instance.id);
                let held = held.map_or_else(|| "none".to_owned(), |held| held.to_string());
                return Err(StatementError::figure(what, held, format!("r{revision}")));
            }
        }
        Ok(())
    }
}

/// Returns how many requests ended in each way.
fn ends(operations: &[&Operation]) -> String {
    let ways = [Told::Done, Told::NotRun, Told::Unknown, Told::Nothing];
    let counts = ways.map(|way| {
        let ended = operations.iter().filter(|o| o.told == Some(way));
        format!("{way}: {}", ended.count())
    });
    counts.join(", ")
}
