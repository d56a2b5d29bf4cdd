//! Builds an upstream's load and health reports, accurate or not.
//!
//! The header and the metric names are those of ORCA, the Open Request Cost
//! Aggregation of the xDS API (`OrcaLoadReport`).

use serde::Serialize;

pub(super) const LOAD_HEADER: &str = "endpoint-load-metrics";

/// The encoding of the load report in an answer's header.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadFormat {
    /// `JSON {"application_utilization":0.5,…}`.
    #[default]
    Json,
    /// `TEXT application_utilization=0.5,…`.
    Text,
}

/// What an upstream reports as its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LoadReport {
    /// The actual load.
    #[default]
    Accurate,
    /// This utilization, from 0 to 1, regardless of the load.
    Fixed(f64),
    /// No report: no header, and `/load` answers with status 404.
    Missing,
}

/// What an upstream reports at `/health`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HealthReport {
    /// Unhealthy while shedding or draining, otherwise healthy.
    #[default]
    Accurate,
    /// Always healthy.
    AlwaysHealthy,
    /// Never healthy.
    NeverHealthy,
}

/// The metrics of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(super) struct LoadMetrics {
    /// Running and waiting requests divided by the number of slots; may exceed 1.
    pub(super) application_utilization: f64,
    /// The number of requests that started in the last second.
    pub(super) rps_fractional: f64,
}

impl LoadMetrics {
    /// Formats the metrics as a header value.
    pub(super) fn header(self, format: LoadFormat) -> String {
        match format {
            LoadFormat::Json => format!(
                "JSON {{\"application_utilization\":{:.4},\"rps_fractional\":{:.1}}}",
                self.application_utilization, self.rps_fractional
            ),
            LoadFormat::Text => format!(
                "TEXT application_utilization={:.4},rps_fractional={:.1}",
                self.application_utilization, self.rps_fractional
            ),
        }
    }
}
