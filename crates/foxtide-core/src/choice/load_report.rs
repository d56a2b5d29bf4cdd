//! Parser for load reports of upstreams in the ORCA format.
//!
//! Open Request Cost Aggregation (ORCA) is the load report of xDS, sent in the
//! header `endpoint-load-metrics`: `TEXT` and a list of `name=value`, or `JSON`
//! and an object. The binary format is not supported.

use crate::{
    Error,
    Result, //
};
use serde::Deserialize;
use std::str::FromStr;

const REPORT_EXPECTED: &str =
    "an ORCA load report, such as `TEXT application_utilization=0.5` or `JSON {..}`";

/// The highest plausible utilization; reports above it are rejected.
const UTILIZATION_MAX: f64 = 100.0;

/// The load that an upstream reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// The share of the upstream's slots in use; above 1 if requests queue.
    pub utilization: f64,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct OrcaReport {
    application_utilization: Option<f64>,
    cpu_utilization: Option<f64>,
}

impl OrcaReport {
    /// Returns the utilization if it is plausible.
    fn utilization(&self) -> Option<f64> {
        let stated = self.application_utilization.or(self.cpu_utilization);
        stated.filter(|value| (0.0..=UTILIZATION_MAX).contains(value))
    }

    fn from_text(text: &str) -> Self {
        let mut report = Self::default();
        for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
            let value = value.trim().parse().ok();
            match name.trim() {
                "application_utilization" => report.application_utilization = value,
                "cpu_utilization" => report.cpu_utilization = value,
                _ => {}
            }
        }
        report
    }
}

impl FromStr for LoadReport {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = || Error::parse(text, REPORT_EXPECTED);
        let trimmed = text.trim();
        let json = trimmed.strip_prefix("JSON").unwrap_or(trimmed).trim();
        let report = if json.starts_with('{') {
            serde_json::from_str(json).map_err(|_| invalid())?
        } else {
            OrcaReport::from_text(trimmed.strip_prefix("TEXT").unwrap_or(trimmed))
        };
        let utilization = report.utilization().ok_or_else(invalid)?;
        Ok(Self { utilization })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn verify_orca_formats_are_parsed() {
        let text = "TEXT cpu_utilization=0.2, application_utilization=0.75,eps=1";
        let json = r#"JSON {"application_utilization": 0.75, "rps_fractional": 3}"#;
        for report in [text, json] {
            assert_eq!(report.parse::<LoadReport>().unwrap().utilization, 0.75);
        }
    }

    #[test]
    fn verify_invalid_reports_are_rejected() {
        for report in ["", "TEXT", "TEXT cpu_utilization=-1", "JSON {", "BIN aa"] {
            assert!(report.parse::<LoadReport>().is_err(), "{report}");
        }
    }
}
