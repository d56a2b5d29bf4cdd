//! Executes the commands of a script.

use super::assertion::Selection;
use super::command::Command;
use super::fleet::Fleet;
use super::operation::RequestKind;
use super::operators::{
    Edit,
    rejection_text, //
};
use super::options::ScenarioOptions;
use super::promise::{
    Promise,
    Verdict, //
};
use super::setting::{
    ServiceSpec,
    Setting,
    UpstreamSpec, //
};
use super::trace::RecordedCommand;
use crate::duration::DurationArg;
use foxtide_config::change::StoredDocument;
use foxtide_core::ids::InstanceId;
use foxtide_core::organisation::Priority;
use foxtide_core::units::{
    Share,
    ShareRate, //
};
use goldenscript::Context;
use std::collections::BTreeMap;
use std::error::Error;
use std::time::Duration;

/// Window of assertions without a `last` argument.
const WINDOW_DEFAULT: DurationArg = DurationArg(Duration::from_secs(10));

// Defaults of omitted arguments of `service` and `region`.
const SPILL_LIMIT_DEFAULT_SHARE: f64 = 0.2;
const SHIFT_CAP_DEFAULT_SHARE_PER_S: f64 = 0.05;
const DEADLINE_DEFAULT: DurationArg = DurationArg(Duration::from_millis(800));
const DRAIN_WINDOW_DEFAULT: DurationArg = DurationArg(Duration::from_secs(10));
const ZONES_DEFAULT: u32 = 2;

pub(super) type CommandResult = Result<String, Box<dyn Error>>;

/// Runs one script, or replays one trace.
#[derive(Debug)]
pub struct ScenarioRunner {
    pub(super) options: ScenarioOptions,
    pub(super) setting: Setting,
    pub(super) fleet: Option<Box<Fleet>>,
    pub(super) commands: Vec<RecordedCommand>,
    documents_read: BTreeMap<String, StoredDocument>,
}

/// A command with the text that it was parsed from.
#[derive(Debug)]
pub struct ScriptLine {
    command: Command,
    text: String,
}

impl TryFrom<&goldenscript::Command> for ScriptLine {
    type Error = Box<dyn Error>;

    fn try_from(line: &goldenscript::Command) -> Result<Self, Self::Error> {
        Ok(Self {
            command: Command::try_from(line)?,
            text: line.to_string(),
        })
    }
}

impl ScenarioRunner {
    /// Returns a runner without regions, services or load.
    ///
    /// # Panics
    ///
    /// Panics if a built-in name is not valid.
    pub fn new(options: ScenarioOptions) -> Self {
        Self {
            options,
            setting: Setting::new().expect("valid names"),
            fleet: None,
            commands: Vec::new(),
            documents_read: BTreeMap::new(),
        }
    }

    /// Returns the verdicts on all promises so far; empty until the fleet has started.
    pub fn verdicts(&self) -> Vec<(Promise, Verdict)> {
        let Some(fleet) = &self.fleet else {
            return Vec::new();
        };
        let promises = Promise::ALL.into_iter();
        promises
            .map(|promise| (promise, fleet.verdict(promise)))
            .collect()
    }

    /// Returns the fleet. The first call starts it.
    pub(super) fn fleet(&mut self) -> Result<&mut Fleet, Box<dyn Error>> {
        if self.fleet.is_none() {
            let mut fleet = Fleet::new(&self.setting, self.options)?;
            fleet.start()?;
            self.fleet = Some(Box::new(fleet));
        }
        Ok(self.fleet.as_mut().ok_or("the fleet has not started")?)
    }

    pub(super) fn instance_index(&mut self, id: &InstanceId) -> Result<usize, Box<dyn Error>> {
        let index = self.fleet()?.instance_index(id);
        Ok(index.ok_or_else(|| format!("no instance is named `{id}`"))?)
    }

    fn apply_setting(&mut self, command: &Command) -> CommandResult {
        if self.fleet.is_some() {
            return Err("the fleet has started; its configuration is fixed".into());
        }
        match command.clone() {
            Command::Tenant { name, services } => self.setting.add_tenant(name, &services)?,
            Command::Region { name, sold, zones } => {
                self.setting
                    .add_region(name, sold, zones.unwrap_or(ZONES_DEFAULT))?;
            }
            Command::Links { sold, delay } => self.setting.link_all(sold, delay.0),
            Command::Service {
                name,
                spill,
                cap,
                deadline,
                drain_window,
                priority,
            } => {
                let spec = ServiceSpec {
                    spill_limit: spill.unwrap_or(Share::clamped(SPILL_LIMIT_DEFAULT_SHARE)),
                    shift_cap: cap
                        .map_or_else(|| ShareRate::new(SHIFT_CAP_DEFAULT_SHARE_PER_S), Ok)?,
                    deadline: deadline.unwrap_or(DEADLINE_DEFAULT).0,
                    drain_window: drain_window.unwrap_or(DRAIN_WINDOW_DEFAULT).0,
                    priority: priority.map_or(Priority::Headroom, |name| name.0),
                };
                self.setting.add_service(name, &spec);
            }
            Command::Upstreams {
                service,
                per_region,
                slots,
                service_time,
            } => {
                let spec = UpstreamSpec {
                    per_region,
                    slots,
                    service_time: service_time.0,
                };
                self.setting.add_upstreams(&service, spec)?;
            }
            Command::Instances { per_region } => self.setting.instances_per_region = per_region,
            other => return Err(format!("not a setup command: {other:?}").into()),
        }
        Ok(String::new())
    }

    fn execute(&mut self, command: &Command, prefix: Option<&str>) -> CommandResult {
        match command.clone() {
            Command::Load {
                service,
                regions,
                rate,
                kind,
            } => {
                for region in &regions {
                    let kind = kind.unwrap_or_default();
                    self.fleet()?.set_load(&service, region, kind, rate);
                }
            }
            Command::Run(span) => self.fleet()?.run_for(span.0),
            Command::Read | Command::Move { .. } | Command::Drain { .. } => {
                return self.execute_as_operator(command, prefix);
            }
            Command::Spill { .. } | Command::Sold { .. } => {
                return self.execute_as_operator(command, prefix);
            }
            Command::Promises(required) => return self.check_promises(&required),
            Command::Told { .. }
            | Command::Latency { .. }
            | Command::Share { .. }
            | Command::Received { .. }
            | Command::Revision(_) => return self.check_assertion(command),
            _ => return self.inject_fault(command),
        }
        Ok(String::new())
    }

    fn execute_as_operator(&mut self, command: &Command, prefix: Option<&str>) -> CommandResult {
        let operator =
            prefix.ok_or("expected a prefix that names the operator, as in `alice: read`")?;
        let edit = match command.clone() {
            Command::Read => return self.read(operator),
            Command::Move {
                service,
                from,
                to,
                share,
                pace,
            } => Edit::Move {
                service,
                from,
                to,
                share,
                pace,
            },
            Command::Drain {
                kind,
                name,
                service,
            } => Edit::drain(kind, &name, service)?,
            Command::Spill { service, limit } => Edit::SpillLimit { service, limit },
            Command::Sold { region, rate } => Edit::SoldRate { region, rate },
            other => return Err(format!("not a command of operators: {other:?}").into()),
        };
        let base = match self.documents_read.remove(operator) {
            Some(base) => base,
            None => match self.fleet()?.read_document() {
                Ok(document) => document.ok_or("the store has no document")?,
                Err(error) => return Ok(rejection_text(&error)),
            },
        };
        Ok(self.fleet()?.change(operator, base, &edit))
    }

    fn read(&mut self, operator: &str) -> CommandResult {
        match self.fleet()?.read_document() {
            Ok(document) => {
                let document = document.ok_or("the store has no document")?;
                let revision = document.document.revision;
                self.documents_read.insert(operator.to_owned(), document);
                Ok(format!("read {revision}"))
            }
            Err(error) => Ok(rejection_text(&error)),
        }
    }

    fn check_promises(&mut self, required: &[Promise]) -> CommandResult {
        self.fleet()?;
        let mut failures = Vec::new();
        for (promise, verdict) in self.verdicts() {
            let untested = verdict == Verdict::Untested && required.contains(&promise);
            if untested || matches!(verdict, Verdict::Broken { .. }) {
                failures.push(format!("{promise}: {verdict}"));
            }
        }
        if failures.is_empty() {
            Ok("kept".to_owned())
        } else {
            Err(failures.join("; ").into())
        }
    }

    fn check_assertion(&mut self, command: &Command) -> CommandResult {
        let fleet = self.fleet()?;
        match command.clone() {
            Command::Told {
                service,
                told: outcome,
                least,
                most,
                last,
                kind,
            } => {
                let kind = kind.unwrap_or_default();
                let selection = selection(service, kind, last);
                let (least, most) = (least.unwrap_or(0.0), most.unwrap_or(1.0));
                fleet.check_outcomes(&selection, outcome, least, most)?;
            }
            Command::Latency { service, p99, last } => {
                fleet.check_latency(&selection(service, RequestKind::Read, last), p99.0)?;
            }
            Command::Share {
                service,
                region,
                least,
                most,
            } => {
                let (least, most) = (least.unwrap_or(0.0), most.unwrap_or(1.0));
                fleet.check_share(&service, &region, least, most)?;
            }
            Command::Received {
                upstream,
                least,
                most,
                last,
            } => {
                let (least, most) = (least.unwrap_or(0), most.unwrap_or(u32::MAX));
                let last = last.unwrap_or(WINDOW_DEFAULT).0;
                fleet.check_received(&upstream, last, least, most)?;
            }
            Command::Revision(revision) => fleet.check_revision(revision)?,
            other => return Err(format!("not an assertion: {other:?}").into()),
        }
        Ok("holds".to_owned())
    }
}

impl goldenscript::Runner for ScenarioRunner {
    type Command = ScriptLine;

    fn run(&mut self, line: &ScriptLine, context: &Context) -> CommandResult {
        let prefix = context.prefix.as_deref();
        if line.command.is_setting() {
            return self.apply_setting(&line.command);
        }
        if line.command.is_traced() {
            let text = match prefix {
                Some(prefix) => format!("{prefix}: {}", line.text),
                None => line.text.clone(),
            };
            let at_us = self.fleet()?.now;
            self.commands.push(RecordedCommand { at_us, line: text });
        }
        self.execute(&line.command, prefix)
    }
}

fn selection(
    service: foxtide_core::ids::ServiceId,
    kind: RequestKind,
    last: Option<DurationArg>,
) -> Selection {
    Selection {
        service,
        kind,
        window: last.unwrap_or(WINDOW_DEFAULT).0,
    }
}
