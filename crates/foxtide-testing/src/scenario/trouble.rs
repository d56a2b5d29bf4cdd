//! The commands that make something go wrong.

use super::command::{
    Command,
    MeasurementsState,
    StoreState,
    UpstreamState, //
};
use super::network::Measurements;
use super::runner::{
    CommandResult,
    ScenarioRunner, //
};
use super::store::StoreFault;
use super::upstream::UpstreamFault;
use crate::duration::DurationArg;
use foxtide_core::ids::UpstreamId;
use std::error::Error;

/// How much slower a slow or a cold upstream is where a script does not say.
const FACTOR_DEFAULT: f64 = 5.0;

impl ScenarioRunner {
    /// Makes something go wrong, or mends it.
    pub(super) fn disturb(&mut self, command: &Command) -> CommandResult {
        match command.clone() {
            Command::RegionDown(region) => self.fleet()?.region_down(&region),
            Command::RegionUp(region) => self.fleet()?.region_up(&region),
            Command::Cut(one, other) => self.fleet()?.cut(&one, &other),
            Command::Heal(one, other) => self.fleet()?.heal(&one, &other),
            Command::Kill(id) => {
                let place = self.instance_index(&id)?;
                self.fleet()?.kill(place);
            }
            Command::Restart(id) => {
                let place = self.instance_index(&id)?;
                self.fleet()?.restart(place);
            }
            Command::Pause(id, span) => {
                let place = self.instance_index(&id)?;
                self.fleet()?.pause(place, span.0);
            }
            Command::Stop(id) => {
                let place = self.instance_index(&id)?;
                self.fleet()?.stop(place);
            }
            Command::Measurements { state, by } => {
                self.fleet()?.network.measurements = measurements(state, by);
            }
            Command::Store { state, by, next } => {
                let fault = store_fault(state, by, next);
                self.fleet()?.store.set_fault(fault);
            }
            Command::Upstream {
                name,
                state,
                factor,
                by,
            } => self.disturb_upstreams(&name, state, factor, by)?,
            other => return Err(format!("{other:?} is not expected here").into()),
        }
        Ok(String::new())
    }

    fn disturb_upstreams(
        &mut self,
        name: &str,
        state: UpstreamState,
        factor: Option<f64>,
        by: Option<DurationArg>,
    ) -> Result<(), Box<dyn Error>> {
        let fleet = self.fleet()?;
        let matches = |id: &&UpstreamId| match name.strip_suffix('*') {
            Some(beginning) => id.as_str().starts_with(beginning),
            None => id.as_str() == name,
        };
        let chosen: Vec<UpstreamId> = fleet.upstreams.keys().filter(matches).cloned().collect();
        if chosen.is_empty() {
            return Err(format!("no upstream {name}").into());
        }
        for id in &chosen {
            match upstream_fault(state, factor, by) {
                Some(fault) => fleet.set_upstream_fault(id, fault),
                None => fleet.drain_upstream(id),
            }
        }
        Ok(())
    }
}

fn measurements(state: MeasurementsState, by: Option<DurationArg>) -> Measurements {
    match state {
        MeasurementsState::Flowing => Measurements::Flowing,
        MeasurementsState::Late => Measurements::Late(by.unwrap_or_default().0),
        MeasurementsState::Stopped => Measurements::Stopped,
    }
}

fn store_fault(state: StoreState, by: Option<DurationArg>, next: Option<u32>) -> StoreFault {
    match state {
        StoreState::Up => StoreFault::None,
        StoreState::Down => StoreFault::Down,
        StoreState::Slow => StoreFault::Slow(by.unwrap_or_default().0),
        StoreState::LosingAnswers => StoreFault::LosingAnswers(next.unwrap_or(1)),
        StoreState::DownAfterWrite => StoreFault::DownAfterWrite,
    }
}

/// Returns the fault that a script names; none where the upstream drains.
fn upstream_fault(
    state: UpstreamState,
    factor: Option<f64>,
    by: Option<DurationArg>,
) -> Option<UpstreamFault> {
    Some(match state {
        UpstreamState::Well => UpstreamFault::None,
        UpstreamState::Dead => UpstreamFault::Dead,
        UpstreamState::Silent => UpstreamFault::Silent,
        UpstreamState::Slow => UpstreamFault::Slow(factor.unwrap_or(FACTOR_DEFAULT)),
        UpstreamState::Shedding => UpstreamFault::Shedding,
        UpstreamState::LosingAnswers => UpstreamFault::LosingAnswers,
        UpstreamState::Late => UpstreamFault::Late(by.unwrap_or_default().0),
        UpstreamState::Lying => UpstreamFault::Lying(factor.unwrap_or(0.0)),
        UpstreamState::Cold => UpstreamFault::Cold(factor.unwrap_or(FACTOR_DEFAULT)),
        UpstreamState::Draining => return None,
    })
}
