//! Recording and replay of traces.
//!
//! A trace is a file of JSON objects, one per line (docs/TRACES.md).

use super::event::Event;
use super::fleet::Fleet;
use super::operation::{
    CallerOutcome,
    Operation,
    RequestKind, //
};
use super::options::ScenarioOptions;
use super::runner::ScenarioRunner;
use super::setting::Setting;
use foxtide_core::ids::{
    InstanceId,
    RegionId,
    ServiceId, //
};
use foxtide_core::organisation::Organisation;
use foxtide_core::time::MonotonicTime;
use serde::{
    Deserialize,
    Serialize, //
};
use std::collections::BTreeMap;
use std::time::Duration;

/// One line of a trace.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum TraceLine {
    Setting(RecordedSetting),
    Request(RecordedRequest),
    Command(RecordedCommand),
    End(RecordedEnd),
}

/// The first line: the initial configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RecordedSetting {
    organisation: Organisation,
    instances_per_region: u32,
    service_times_us: BTreeMap<ServiceId, u64>,
}

/// A request that a caller sent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RecordedRequest {
    pub(super) at_us: MonotonicTime,
    pub(super) service: ServiceId,
    /// Region of the caller.
    pub(super) region: RegionId,
    #[serde(with = "display_str")]
    pub(super) kind: RequestKind,
    /// Instance to which the caller sent the first copy, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) instance: Option<InstanceId>,
    /// Expected outcome, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) ends: Option<String>,
}

/// A command of the script language.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RecordedCommand {
    pub(super) at_us: MonotonicTime,
    pub(super) line: String,
}

/// The last line.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RecordedEnd {
    at_us: MonotonicTime,
    /// Share of the requests whose outcome may differ from the expected one.
    ends_differ_most: f64,
}

/// Failure to replay a trace, or of an assertion in it.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// A line is malformed.
    #[error("line {line}: {cause}")]
    Line {
        /// Line number, from 1.
        line: usize,
        /// Cause of the failure.
        cause: serde_json::Error,
    },
    /// The `setting` line is missing, repeated or not the first.
    #[error("a trace must start with its only `setting` line")]
    NoSetting,
    /// A command or an assertion failed.
    #[error("at {at}: {cause}")]
    Command {
        /// Time of the command.
        at: MonotonicTime,
        /// Cause of the failure.
        cause: String,
    },
    /// Too many requests had another outcome than expected.
    #[error("{differing} of {expected} requests had an unexpected outcome, the first at {first}")]
    Outcomes {
        /// Number of such requests.
        differing: usize,
        /// Number of requests with an expected outcome.
        expected: usize,
        /// Time of the first of them.
        first: String,
    },
}

mod display_str {
    //! Serializes a value as its `Display` text.

    use serde::{
        Deserialize,
        Deserializer,
        Serializer,
        de::Error, //
    };
    use std::fmt::Display;
    use std::str::FromStr;

    pub(super) fn serialize<S: Serializer>(
        value: &impl Display,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_str(value)
    }

    pub(super) fn deserialize<'de, T, D>(deserializer: D) -> Result<T, D::Error>
    where
        T: FromStr<Err: Display>,
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(D::Error::custom)
    }
}

impl ScenarioRunner {
    /// Returns the run so far as a trace that expects the outcomes of its requests.
    ///
    /// # Errors
    ///
    /// Fails if the fleet cannot be started.
    pub fn trace(&mut self) -> Result<String, Box<dyn std::error::Error>> {
        let end = self.fleet()?.now;
        let mut lines = vec![TraceLine::Setting(self.recorded_setting())];
        let mut timed: Vec<(MonotonicTime, TraceLine)> = Vec::new();
        for command in &self.commands {
            timed.push((command.at_us, TraceLine::Command(command.clone())));
        }
        for operation in self.fleet()?.operations.values() {
            let request = record_request(operation);
            timed.push((request.at_us, TraceLine::Request(request)));
        }
        timed.sort_by_key(|(at, _)| *at);
        lines.extend(timed.into_iter().map(|(_, line)| line));
        lines.push(TraceLine::End(RecordedEnd {
            at_us: end,
            ends_differ_most: 0.0,
        }));
        let lines: Result<Vec<String>, _> = lines.iter().map(serde_json::to_string).collect();
        Ok(lines?.join("\n") + "\n")
    }

    fn recorded_setting(&self) -> RecordedSetting {
        let times = self.setting.service_times.iter();
        let times = times.map(|(service, time)| (service.clone(), time.as_micros() as u64));
        RecordedSetting {
            organisation: self.setting.organisation().clone(),
            instances_per_region: self.setting.instances_per_region,
            service_times_us: times.collect(),
        }
    }

    /// Replays a trace and checks its assertions and expected outcomes. Returns the runner
    /// for its verdicts.
    ///
    /// # Errors
    ///
    /// Fails if the trace is malformed or a check fails.
    pub fn replay(trace: &str, options: ScenarioOptions) -> Result<Self, TraceError> {
        let mut lines = parse_lines(trace)?.into_iter();
        let Some(TraceLine::Setting(setting)) = lines.next() else {
            return Err(TraceError::NoSetting);
        };
        let mut runner = Self::new(options);
        runner.setting = setting.into();
        let mut commands = Vec::new();
        let mut end = None;
        for line in lines {
            match line {
                TraceLine::Setting(_) => return Err(TraceError::NoSetting),
                TraceLine::Request(request) => runner.schedule_request(request)?,
                TraceLine::Command(command) => commands.push(command),
                TraceLine::End(last) => end = Some(last),
            }
        }
        for command in commands {
            runner.run_command(&command)?;
        }
        if let Some(end) = end {
            runner.run_until(end.at_us)?;
            runner.check_outcomes(end.ends_differ_most)?;
        }
        Ok(runner)
    }

    fn started_fleet(&mut self) -> Result<&mut Fleet, TraceError> {
        let fleet = self.fleet();
        fleet.map_err(|error| TraceError::Command {
            at: MonotonicTime::ZERO,
            cause: error.to_string(),
        })
    }

    fn schedule_request(&mut self, request: RecordedRequest) -> Result<(), TraceError> {
        let fleet = self.started_fleet()?;
        let index = fleet.recorded_requests.len();
        fleet
            .schedule
            .add(request.at_us, Event::RecordedArrival { index });
        fleet.recorded_requests.push(request);
        Ok(())
    }

    fn run_until(&mut self, at: MonotonicTime) -> Result<(), TraceError> {
        let fleet = self.started_fleet()?;
        let span = at - fleet.now;
        fleet.run_for(span);
        Ok(())
    }

    fn run_command(&mut self, command: &RecordedCommand) -> Result<(), TraceError> {
        self.run_until(command.at_us)?;
        let script = format!("{}\n---\n", command.line);
        let result = goldenscript::generate(self, &script);
        result.map(drop).map_err(|error| TraceError::Command {
            at: command.at_us,
            cause: error.to_string(),
        })
    }

    fn check_outcomes(&mut self, differ_most_share: f64) -> Result<(), TraceError> {
        let fleet = self.started_fleet()?;
        let mut expected = 0;
        let mut differing = Vec::new();
        for request in &fleet.recorded_requests {
            let Some(ends) = &request.ends else {
                continue;
            };
            expected += 1;
            let outcome = request_outcome(fleet, request);
            if outcome.map(|outcome| outcome.to_string()).as_ref() != Some(ends) {
                differing.push(request.at_us.to_string());
            }
        }
        if differing.len() as f64 <= differ_most_share * f64::from(expected) {
            return Ok(());
        }
        Err(TraceError::Outcomes {
            differing: differing.len(),
            expected: expected as usize,
            first: differing.swap_remove(0),
        })
    }
}

fn request_outcome(fleet: &Fleet, request: &RecordedRequest) -> Option<CallerOutcome> {
    let matches = |operation: &&Operation| {
        operation.arrived_at == request.at_us
            && operation.service == request.service
            && operation.region == request.region
            && operation.kind == request.kind
    };
    fleet.operations.values().find(matches)?.outcome
}

impl From<RecordedSetting> for Setting {
    fn from(recorded: RecordedSetting) -> Self {
        let mut setting = Self::with_organisation(recorded.organisation);
        setting.instances_per_region = recorded.instances_per_region;
        let times = recorded.service_times_us.into_iter();
        setting.service_times = times
            .map(|(service, us)| (service, Duration::from_micros(us)))
            .collect();
        setting
    }
}

fn record_request(operation: &Operation) -> RecordedRequest {
    RecordedRequest {
        at_us: operation.arrived_at,
        service: operation.service.clone(),
        region: operation.region.clone(),
        kind: operation.kind,
        instance: operation.first_instance.clone(),
        ends: operation.outcome.map(|outcome| outcome.to_string()),
    }
}

fn parse_lines(trace: &str) -> Result<Vec<TraceLine>, TraceError> {
    let lines = trace.lines().enumerate();
    let lines = lines.filter(|(_, line)| !line.trim().is_empty());
    let parsed = lines.map(|(index, line)| {
        serde_json::from_str(line).map_err(|cause| TraceError::Line {
            line: index + 1,
            cause,
        })
    });
    parsed.collect()
}

impl Fleet {
    /// Starts a recorded request.
    pub(super) fn arrive_recorded(&mut self, index: usize) {
        let request = self.recorded_requests[index].clone();
        let instance = request.instance.and_then(|id| self.instance_index(&id));
        let turn = instance.map_or(index, |instance| self.turn_for(instance));
        self.begin_operation(request.service, request.region, request.kind, turn);
    }

    /// Returns the round-robin position at which callers of the region choose an instance.
    fn turn_for(&self, index: usize) -> usize {
        let region = &self.instances[index].region;
        let before = self.instances[..index].iter();
        before.filter(|other| other.region == *region).count()
    }
}
