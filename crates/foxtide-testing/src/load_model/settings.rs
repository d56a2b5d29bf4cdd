//! What is played, as it stands in a file of JSON with comments.

use foxtide_config::document;
use serde::Deserialize;
use std::path::{
    Path,
    PathBuf, //
};
use std::time::Duration;

/// Why a load cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file is not in its form.
    #[error("{path}: {cause}")]
    Malformed {
        /// The file.
        path: PathBuf,
        /// What is wrong, with the field.
        cause: String,
    },
    /// A field holds a value that cannot be used.
    #[error("{path}: {field}: {found}; valid: {valid}")]
    Field {
        /// The file.
        path: PathBuf,
        /// The field.
        field: &'static str,
        /// What it holds.
        found: String,
        /// What it may hold.
        valid: &'static str,
    },
}

/// One service under load.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadSettings {
    /// Where requests arise and upstreams stand.
    pub regions: Vec<RegionLoad>,
    /// Whether upstreams' coordinators are asked; else each instance sends at once.
    pub is_coordinated: bool,
    /// Whether a region that is short sends elsewhere what it would refuse.
    pub may_overflow: bool,
    /// One way within a region, in milliseconds.
    pub near_delay_ms: f64,
    /// One way between regions, in milliseconds.
    pub far_delay_ms: f64,
    /// Requests that an upstream works on at a time.
    pub slots: u32,
    /// Requests that wait at an upstream before it refuses more.
    pub queue: usize,
    /// Objects that an upstream knows.
    pub known_objects_max: usize,
    /// Work on an object that the upstream does not know, in milliseconds.
    pub work_ms: f64,
    /// By how much work varies, as a factor of its mean.
    pub work_spread: f64,
    /// The part of the work that is left for an object that the upstream knows.
    pub known_part: f64,
    /// The latency objective in milliseconds, from the caller's first attempt.
    pub objective_ms: f64,
    /// The route's limit in milliseconds.
    pub limit_ms: f64,
    /// What a late answer is worth; one in time is worth 1.
    pub late_worth: f64,
    /// How long requests arise, in seconds.
    pub length_s: f64,
    /// By how much the rate of a region swings, as a part of it.
    pub swing: f64,
    /// The period of that, in seconds; the regions follow each other by a third of it.
    pub swing_period_s: f64,
    /// The part of the callers that come back at once and up to three times.
    pub impatient_share: f64,
    /// What happens to upstreams.
    pub upstream_faults: Vec<UpstreamFault>,
    /// What happens to the instances that coordinate.
    pub coordinator_faults: Vec<CoordinatorFault>,
}

/// A region.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionLoad {
    /// Its name.
    pub name: String,
    /// Instances that stand there.
    pub instances: usize,
    /// Upstreams that stand there.
    pub upstreams: usize,
    /// Requests a second that arise there.
    pub rate_rps: f64,
    /// Objects that they concern.
    pub objects: u64,
}

/// Something that happens to a part of the upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamFault {
    /// When it begins, in seconds.
    pub at_s: f64,
    /// How long it lasts, in seconds.
    pub for_s: f64,
    /// The part of the upstreams.
    pub share: f64,
    /// Where that part begins in their order, as a part of all.
    #[serde(default)]
    pub from: f64,
    /// What happens.
    pub kind: UpstreamFaultKind,
}

/// What happens to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamFaultKind {
    /// It gets nothing, and knows no object when it is back.
    Away,
    /// Its work takes this many times as long.
    Slow(f64),
    /// It refuses this part of its requests.
    Refusing(f64),
}

/// Something that happens to one instance as a coordinator; it serves callers on.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CoordinatorFault {
    /// When it begins, in seconds.
    pub at_s: f64,
    /// How long it lasts, in seconds.
    pub for_s: f64,
    /// The instance, by its number in the order of the regions.
    pub instance: usize,
    /// What happens.
    pub kind: CoordinatorFaultKind,
}

/// What happens to a coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CoordinatorFaultKind {
    /// It is gone and begins anew afterwards; after 2.2 s others know.
    Killed,
    /// It hears nothing meanwhile, and then all that came.
    Paused,
    /// It hears, but its answers are lost.
    Mute,
    /// Every other instance believes that it is gone and asks its successor.
    DoublyBelieved,
}

impl Default for LoadSettings {
    /// One service in three regions: 18 upstreams of 3 slots and 11 instances, 106
    /// requests a second for 144 objects. Known, they need half of the slots; unknown,
    /// 1.7 times as many as there are.
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
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// Fails where it cannot be read, is not in its form, or holds a value that cannot
    /// be played.
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

/// Returns a time that is given in milliseconds.
pub(crate) fn milliseconds(time_ms: f64) -> Duration {
    Duration::try_from_secs_f64(time_ms / 1_000.0).unwrap_or(Duration::ZERO)
}
