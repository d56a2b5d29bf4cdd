//! Simulation settings, read from a JSON file with comments.

use foxtide_config::document;
use serde::Deserialize;
use std::path::{
    Path,
    PathBuf, //
};
use std::time::Duration;

/// Error in reading a settings file.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The file could not be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file is not valid JSON or has unknown or mistyped fields.
    #[error("{path}: {cause}")]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The parser's message.
        cause: String,
    },
    /// A field has an invalid value.
    #[error("{path}: {field}: {found}; valid: {valid}")]
    Field {
        /// The file.
        path: PathBuf,
        /// The field.
        field: &'static str,
        /// The invalid value.
        found: String,
        /// The valid values.
        valid: &'static str,
    },
}

/// Settings of a simulated service and its load.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadSettings {
    /// Regions with their callers, instances and upstreams.
    pub regions: Vec<RegionLoad>,
    /// Whether instances request slots from coordinators; otherwise they send at once.
    pub is_coordinated: bool,
    /// Whether a region short of capacity sends excess requests to other regions.
    pub may_overflow: bool,
    /// One-way delay within a region, in milliseconds.
    pub near_delay_ms: f64,
    /// One-way delay between regions, in milliseconds.
    pub far_delay_ms: f64,
    /// Requests that an upstream processes concurrently.
    pub slots: u32,
    /// Maximum length of an upstream's queue.
    pub queue: usize,
    /// Maximum number of objects in an upstream's cache.
    pub known_objects_max: usize,
    /// Mean processing time of an uncached object, in milliseconds.
    pub work_ms: f64,
    /// Relative spread of the processing time around its mean.
    pub work_spread: f64,
    /// Processing time of a cached object, as a fraction of that of an uncached one.
    pub known_part: f64,
    /// Latency objective in milliseconds, from the caller's first attempt.
    pub objective_ms: f64,
    /// Time limit of the route per attempt, in milliseconds.
    pub limit_ms: f64,
    /// Worth of a late answer; an answer within the objective is worth 1.
    pub late_worth: f64,
    /// Duration of the load, in seconds.
    pub length_s: f64,
    /// Amplitude of a region's sinusoidal rate, as a fraction of its mean.
    pub swing: f64,
    /// Period of the rate, in seconds; the regions' phases are spread evenly over it.
    pub swing_period_s: f64,
    /// Fraction of the callers that retry at once, up to three times.
    pub impatient_share: f64,
    /// Faults of upstreams.
    pub upstream_faults: Vec<UpstreamFault>,
    /// Faults of coordinators.
    pub coordinator_faults: Vec<CoordinatorFault>,
}

/// Load and capacity of a region.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionLoad {
    /// Name of the region.
    pub name: String,
    /// Number of instances.
    pub instances: usize,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Mean rate of new requests per second.
    pub rate_rps: f64,
    /// Number of distinct objects requested.
    pub objects: u64,
}

/// A temporary fault of a range of upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamFault {
    /// Start of the fault, in seconds.
    pub at_s: f64,
    /// Duration of the fault, in seconds.
    pub for_s: f64,
    /// Fraction of the upstreams affected.
    pub share: f64,
    /// Start of the affected range, as a fraction of all upstreams.
    #[serde(default)]
    pub from: f64,
    /// Kind of fault.
    pub kind: UpstreamFaultKind,
}

/// Kind of upstream fault.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamFaultKind {
    /// The upstream is unreachable and loses its cache.
    Away,
    /// Processing takes this many times as long.
    Slow(f64),
    /// The upstream refuses this fraction of its requests.
    Refusing(f64),
}

/// A temporary fault of one instance's coordinator; the instance still serves callers.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CoordinatorFault {
    /// Start of the fault, in seconds.
    pub at_s: f64,
    /// Duration of the fault, in seconds.
    pub for_s: f64,
    /// Index of the instance, counted through the regions in order.
    pub instance: usize,
    /// Kind of fault.
    pub kind: CoordinatorFaultKind,
}

/// Kind of coordinator fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CoordinatorFaultKind {
    /// The coordinator stops and loses its state; others notice when its lease expires.
    Killed,
    /// Messages are delayed until the fault ends.
    Paused,
    /// Messages arrive, but answers are lost.
    Mute,
    /// Every other instance takes it for dead and uses its successor.
    DoublyBelieved,
}

impl Default for LoadSettings {
    /// Returns a service in three regions that needs half of its slots with warm caches
    /// and 1.7 times its slots with cold ones.
    fn default() -> Self {
        let region = |name: &str, instances, upstreams| RegionLoad {
            name: name.to_owned(),
            instances,
            upstreams,
            rate_rps: 35.4,
            objects: 48,
        };
        Self {
            regions: vec![
                region("khomas", 4, 2),
                region("erongo", 3, 8),
                region("oshana", 4, 8),
            ],
            is_coordinated: true,
            may_overflow: true,
            near_delay_ms: 0.7,
            far_delay_ms: 35.0,
            slots: 3,
            queue: 9,
            known_objects_max: 16,
            work_ms: 880.0,
            work_spread: 0.15,
            known_part: 0.3,
            objective_ms: 600.0,
            limit_ms: 1_500.0,
            late_worth: 0.2,
            length_s: 30.0,
            swing: 0.0,
            swing_period_s: 36.0,
            impatient_share: 0.0,
            upstream_faults: Vec::new(),
            coordinator_faults: Vec::new(),
        }
    }
}

impl LoadSettings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is malformed, or has an invalid value.
    pub fn load(path: &Path) -> Result<Self, LoadError> {
        let path_owned = || path.to_owned();
        let text = std::fs::read_to_string(path).map_err(|source| LoadError::Read {
            path: path_owned(),
            source,
        })?;
        let malformed = |cause: String| LoadError::Malformed {
            path: path_owned(),
            cause,
        };
        let name = path.display().to_string();
        let value =
            document::parse_value(&name, &text).map_err(|error| malformed(error.to_string()))?;
        let settings: Self =
            serde_json::from_value(value).map_err(|error| malformed(error.to_string()))?;
        match settings.first_invalid_field() {
            None => Ok(settings),
            Some((field, found, valid)) => Err(LoadError::Field {
                path: path_owned(),
                field,
                found,
                valid,
            }),
        }
    }

    fn first_invalid_field(&self) -> Option<(&'static str, String, &'static str)> {
        let upstreams: usize = self.regions.iter().map(|region| region.upstreams).sum();
        let has_instances = self.regions.iter().all(|region| region.instances > 0);
        let has_objects = self.regions.iter().all(|region| region.objects > 0);
        let positive = [
            ("work_ms", self.work_ms),
            ("objective_ms", self.objective_ms),
            ("limit_ms", self.limit_ms),
            ("length_s", self.length_s),
            ("swing_period_s", self.swing_period_s),
        ];
        let shares = [
            ("known_part", self.known_part),
            ("late_worth", self.late_worth),
            ("swing", self.swing),
            ("impatient_share", self.impatient_share),
        ];
        let is_share = |value: f64| (0.0..=1.0).contains(&value);
        if upstreams == 0 || !has_instances || !has_objects {
            let found = format!("{} regions, {upstreams} upstreams", self.regions.len());
            let valid = "an upstream, and an instance and an object in each region";
            return Some(("regions", found, valid));
        }
        if self.slots == 0 {
            return Some(("slots", "0".to_owned(), "1 or more"));
        }
        for (field, value) in positive {
            if !(value.is_finite() && value > 0.0) {
                return Some((field, value.to_string(), "a number above 0"));
            }
        }
        for (field, value) in shares {
            if !is_share(value) {
                return Some((field, value.to_string(), "0 to 1"));
            }
        }
        None
    }

    pub(crate) fn near_delay(&self) -> Duration {
        milliseconds(self.near_delay_ms)
    }

    pub(crate) fn far_delay(&self) -> Duration {
        milliseconds(self.far_delay_ms)
    }

    pub(crate) fn objective(&self) -> Duration {
        milliseconds(self.objective_ms)
    }

    pub(crate) fn limit(&self) -> Duration {
        milliseconds(self.limit_ms)
    }
}

/// Converts milliseconds to a duration; invalid values become zero.
pub(crate) fn milliseconds(time_ms: f64) -> Duration {
    Duration::try_from_secs_f64(time_ms / 1_000.0).unwrap_or(Duration::ZERO)
}
