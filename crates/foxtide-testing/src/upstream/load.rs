//! What an upstream says of its load and health, true or not.
//!
//! The header and the names of the metrics are those of ORCA, the Open
//! Request Cost Aggregation of the xDS API (`OrcaLoadReport`).

use serde::Serialize;

/// The header that carries the load report of an answer.
pub(super) const LOAD_HEADER: &str = "endpoint-load-metrics";

/// The form of the load report in an answer's header.
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
    /// The load as it is.
    #[default]
    Accurate,
    /// This utilization, from 0 to 1, whatever the load is.
    Fixed(f64),
    /// Nothing: no header, and the polled page is absent.
    Missing,
}

/// What an upstream's health page says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HealthReport {
    /// Unhealthy while it sheds or drains, else healthy.
    #[default]
    Accurate,
    /// Always healthy.
    AlwaysHealthy,
    /// Never healthy.
    NeverHealthy,
}

/// The metrics of one report.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(super) struct LoadMetrics {
    /// The part of the slots and of the queue's first places in use; above 1
    /// where requests wait.
    pub(super) application_utilization: f64,
    /// The requests run in the last second.
    pub(super) rps_fractional: f64,
}

impl LoadMetrics {
    /// Returns the value of the answer's header.
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
