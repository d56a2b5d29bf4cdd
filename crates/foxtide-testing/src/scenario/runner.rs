//! Runs the commands of a script.

use super::command::Command;
use super::fleet::Fleet;
use super::operation::Kind;
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
    ServiceTerms,
    Setting,
    UpstreamTerms, //
};
use super::statement::Selection;
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

/// The time that statements look back over where they do not say.
const LAST_DEFAULT: DurationArg = DurationArg(Duration::from_secs(10));

/// What a contract of a scenario says where the script does not.
const SPILL_DEFAULT: f64 = 0.2;
const CAP_DEFAULT: f64 = 0.05;
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
    reads: BTreeMap<String, StoredDocument>,
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
    /// Returns a runner of a script.
    ///
    /// # Panics
    ///
    /// Panics where the names that every scenario has are not valid.
    pub fn new(options: ScenarioOptions) -> Self {
        Self {
            options,
            setting: Setting::new().expect("valid names"),
            fleet: None,
            commands: Vec::new(),
            reads: BTreeMap::new(),
        }
    }

    /// Returns of every promise whether it held so far.
    pub fn verdicts(&self) -> Vec<(Promise, Verdict)> {
        let Some(fleet) = &self.fleet else {
            return Vec::new();
        };
        let promises = Promise::ALL.into_iter();
        promises
            .map(|promise| (promise, fleet.verdict(promise)))
            .collect()
    }

    /// Returns the fleet, which starts with the first command that needs it.
    pub(super) fn fleet(&mut self) -> Result<&mut Fleet, Box<dyn Error>> {
        if self.fleet.is_none() {
            let mut fleet = Fleet::new(&self.setting, self.options)?;
            fleet.start()?;
            self.fleet = Some(Box::new(fleet));
        }
        Ok(self.fleet.as_mut().ok_or("no fleet")?)
    }

    pub(super) fn instance(&mut self, id: &InstanceId) -> Result<usize, Box<dyn Error>> {
        let place = self.fleet()?.instance_index(id);
        Ok(place.ok_or_else(|| format!("no instance {id}"))?)
    }

    fn set_up(&mut self, command: &Command) -> CommandResult {
        if self.fleet.is_some() {
            return Err("the scenario has begun".into());
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
                let terms = ServiceTerms {
                    spill: spill.unwrap_or(Share::clamped(SPILL_DEFAULT)),
                    cap: cap.map_or_else(|| ShareRate::new(CAP_DEFAULT), Ok)?,
                    deadline: deadline.unwrap_or(DEADLINE_DEFAULT).0,
                    drain_window: drain_window.unwrap_or(DRAIN_WINDOW_DEFAULT).0,
                    priority: priority.map_or(Priority::Headroom, |name| name.0),
                };
                self.setting.add_service(name, &terms);
            }
            Command::Upstreams {
                service,
                per_region,
                slots,
                service_time,
            } => {
                let terms = UpstreamTerms {
                    per_region,
                    slots,
                    service_time: service_time.0,
                };
                self.setting.add_upstreams(&service, terms)?;
            }
            Command::Instances { per_region } => self.setting.instances_per_region = per_region,
            other => return Err(format!("{other:?} is no part of a setting").into()),
        }
        Ok(String::new())
    }

    fn act(&mut self, command: &Command, prefix: Option<&str>) -> CommandResult {
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
                return self.operate(command, prefix);
            }
            Command::Spill { .. } | Command::Sold { .. } => return self.operate(command, prefix),
            Command::Promises(tested) => return self.promises(&tested),
            Command::Told { .. }
            | Command::Latency { .. }
            | Command::Share { .. }
            | Command::Received { .. }
            | Command::Revision(_) => return self.state(command),
            _ => return self.inject_fault(command),
        }
        Ok(String::new())
    }

    fn operate(&mut self, command: &Command, prefix: Option<&str>) -> CommandResult {
        let operator = prefix.ok_or("an operator's name is missing, as in `alice: read`")?;
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
            other => return Err(format!("{other:?} is no operator's command").into()),
        };
        let base = match self.reads.remove(operator) {
            Some(base) => base,
            None => match self.fleet()?.read_document() {
                Ok(document) => document.ok_or("there is no document")?,
                Err(error) => return Ok(rejection_text(&error)),
            },
        };
        Ok(self.fleet()?.change(operator, base, &edit))
    }

    fn read(&mut self, operator: &str) -> CommandResult {
        match self.fleet()?.read_document() {
            Ok(document) => {
                let document = document.ok_or("there is no document")?;
                let revision = document.document.revision;
                self.reads.insert(operator.to_owned(), document);
                Ok(format!("read {revision}"))
            }
            Err(error) => Ok(rejection_text(&error)),
        }
    }

    fn promises(&mut self, tested: &[Promise]) -> CommandResult {
        self.fleet()?;
        let mut failures = Vec::new();
        for (promise, verdict) in self.verdicts() {
            let untested = verdict == Verdict::Untested && tested.contains(&promise);
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

    fn state(&mut self, command: &Command) -> CommandResult {
        let fleet = self.fleet()?;
        match command.clone() {
            Command::Told {
                service,
                told,
                least,
                most,
                last,
                kind,
            } => {
                let kind = kind.unwrap_or_default();
                let selection = select(service, kind, last);
                let (least, most) = (least.unwrap_or(0.0), most.unwrap_or(1.0));
                fleet.check_told(&selection, told, least, most)?;
            }
            Command::Latency { service, p99, last } => {
                fleet.check_latency(&select(service, Kind::Read, last), p99.0)?;
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
                let last = last.unwrap_or(LAST_DEFAULT).0;
                fleet.check_received(&upstream, last, least, most)?;
            }
            Command::Revision(revision) => fleet.check_revision(revision)?,
            other => return Err(format!("{other:?} is no statement").into()),
        }
        Ok("holds".to_owned())
    }
}

impl goldenscript::Runner for ScenarioRunner {
    type Command = ScriptLine;

    fn run(&mut self, line: &ScriptLine, context: &Context) -> CommandResult {
        let prefix = context.prefix.as_deref();
        if line.command.is_setting() {
            return self.set_up(&line.command);
        }
        if line.command.is_traced() {
            let text = match prefix {
                Some(prefix) => format!("{prefix}: {}", line.text),
                None => line.text.clone(),
            };
            let at_us = self.fleet()?.now;
            self.commands.push(RecordedCommand { at_us, line: text });
        }
        self.act(&line.command, prefix)
    }
}

fn select(
    service: foxtide_core::ids::ServiceId,
    kind: Kind,
    last: Option<DurationArg>,
) -> Selection {
    Selection {
        service,
        kind,
        last: last.unwrap_or(LAST_DEFAULT).0,
    }
}
