//! Assertions on the outcomes of requests, routing and configuration.

use super::fleet::Fleet;
use super::operation::{
    CallerOutcome,
    Operation,
    RequestKind, //
};
use foxtide_core::ids::{
    RegionId,
    ServiceId,
    UpstreamId, //
};
use foxtide_core::time::MonotonicTime;
use std::time::Duration;

/// Filter for the requests that an assertion checks.
#[derive(Clone, Debug)]
pub(super) struct Selection {
    pub(super) service: ServiceId,
    pub(super) kind: RequestKind,
    /// Length of the period, up to now, in which the deadlines of the requests passed.
    pub(super) window: Duration,
}

/// Failure of an assertion.
#[derive(Clone, Debug, thiserror::Error)]
pub(super) enum AssertionError {
    /// No request matches the assertion.
    #[error("nothing to check: {0}")]
    NoRequests(String),
    /// A value is outside the expected range.
    #[error("{quantity} is {actual}, expected {expected}")]
    OutOfRange {
        quantity: String,
        actual: String,
        expected: String,
    },
}

impl AssertionError {
    fn out_of_range(
        quantity: impl ToString,
        actual: impl ToString,
        expected: impl ToString,
    ) -> Self {
        Self::OutOfRange {
            quantity: quantity.to_string(),
            actual: actual.to_string(),
            expected: expected.to_string(),
        }
    }
}

impl Fleet {
    fn select(&self, selection: &Selection) -> Result<Vec<&Operation>, AssertionError> {
        let service = self.organisation.service(&selection.service);
        let deadline = service.map_or(Duration::ZERO, |service| service.contract.deadline());
        let until = self.now.saturating_sub(deadline);
        let since = until.saturating_sub(selection.window);
        let matches = |operation: &&Operation| {
            operation.arrived_at > since
                && operation.arrived_at <= until
                && operation.service == selection.service
                && operation.kind == selection.kind
        };
        let selected: Vec<&Operation> = self.operations.values().filter(matches).collect();
        if selected.is_empty() {
            let cause = format!("no {} of {}", selection.kind, selection.service);
            return Err(AssertionError::NoRequests(cause));
        }
        Ok(selected)
    }

    /// Checks the share of the selected requests with this outcome.
    pub(super) fn check_outcomes(
        &self,
        selection: &Selection,
        outcome: CallerOutcome,
        least: f64,
        most: f64,
    ) -> Result<(), AssertionError> {
        let selected = self.select(selection)?;
        let ended = selected.iter().filter(|o| o.outcome == Some(outcome));
        let share = ended.count() as f64 / selected.len() as f64;
        if (least..=most).contains(&share) {
            return Ok(());
        }
        let quantity = format!("the share of {} with outcome {outcome}", selection.service);
        let reasons = &self.record.rejections;
        let quantity = format!(
            "{quantity} ({}; rejected so far: {reasons:?})",
            count_outcomes(&selected)
        );
        let expected = format!("{least} to {most}");
        Err(AssertionError::out_of_range(
            quantity,
            format!("{share:.3}"),
            expected,
        ))
    }

    /// Checks the 99th percentile of the latency of completed requests.
    pub(super) fn check_latency(
        &self,
        selection: &Selection,
        p99: Duration,
    ) -> Result<(), AssertionError> {
        let selected = self.select(selection)?;
        let done = selected
            .iter()
            .filter(|o| o.outcome == Some(CallerOutcome::Done));
        let mut times: Vec<Duration> = done.map(|o| o.ended_at - o.arrived_at).collect();
        times.sort();
        let index = (times.len() * 99).div_ceil(100).saturating_sub(1);
        let actual = times.get(index).copied().unwrap_or(Duration::MAX);
        if actual <= p99 {
            return Ok(());
        }
        let quantity = format!("the 99th percentile latency of {}", selection.service);
        Err(AssertionError::out_of_range(
            quantity,
            format!("{actual:?}"),
            format!("{p99:?}"),
        ))
    }

    /// Checks the share of a service that instances send to a region, in the latest sample.
    pub(super) fn check_share(
        &self,
        service: &ServiceId,
        region: &RegionId,
        least: f64,
        most: f64,
    ) -> Result<(), AssertionError> {
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
        let quantity = format!("the share of {region} in {service}");
        let expected = format!("{least} to {most}");
        Err(AssertionError::out_of_range(
            quantity,
            format!("{share:.3}"),
            expected,
        ))
    }

    /// Checks the number of attempts that an upstream received in the window before now.
    pub(super) fn check_received(
        &self,
        upstream: &UpstreamId,
        window: Duration,
        least: u32,
        most: u32,
    ) -> Result<(), AssertionError> {
        let series = self.record.upstreams.get(upstream);
        let since = self.now.saturating_sub(window);
        let received = series.map_or(0, |series| series.sum_between(since, self.now));
        if (least..=most).contains(&received) {
            return Ok(());
        }
        let quantity = format!("the number of requests at {upstream}");
        Err(AssertionError::out_of_range(
            quantity,
            received,
            format!("{least} to {most}"),
        ))
    }

    /// Checks that all running instances have applied a revision.
    pub(super) fn check_revision(&self, revision: u64) -> Result<(), AssertionError> {
        for instance in self.instances.iter().filter(|i| i.is_awake()) {
            let applied = instance.process.as_ref().and_then(|p| p.revision());
            if applied.map(|applied| applied.get()) != Some(revision) {
                let quantity = format!("the revision on {}", instance.id);
                let applied =
                    applied.map_or_else(|| "none".to_owned(), |applied| applied.to_string());
                return Err(AssertionError::out_of_range(
                    quantity,
                    applied,
                    format!("r{revision}"),
                ));
            }
        }
        Ok(())
    }
}

/// Formats the number of requests with each outcome.
fn count_outcomes(operations: &[&Operation]) -> String {
    let outcomes = [
        CallerOutcome::Done,
        CallerOutcome::NotRun,
        CallerOutcome::Unknown,
        CallerOutcome::NoResponse,
    ];
    let counts = outcomes.map(|outcome| {
        let ended = operations.iter().filter(|o| o.outcome == Some(outcome));
        format!("{outcome}: {}", ended.count())
    });
    counts.join(", ")
}
