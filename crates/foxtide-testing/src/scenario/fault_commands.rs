//! Runs the script commands that inject and clear faults.

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

/// Default factor by which a slow or cold upstream takes longer.
const FACTOR_DEFAULT: f64 = 5.0;

impl ScenarioRunner {
    /// Runs a command that injects or clears a fault.
    pub(super) fn inject_fault(&mut self, command: &Command) -> CommandResult {
        match command.clone() {
            Command::RegionDown(region) => self.fleet()?.region_down(&region),
            Command::RegionUp(region) => self.fleet()?.region_up(&region),
            Command::Cut(first, second) => self.fleet()?.cut(&first, &second),
            Command::Heal(first, second) => self.fleet()?.heal(&first, &second),
            Command::Kill(id) => {
                let index = self.instance_index(&id)?;
                self.fleet()?.kill(index);
            }
            Command::Restart(id) => {
                let index = self.instance_index(&id)?;
                self.fleet()?.restart(index);
            }
            Command::Pause(id, span) => {
                let index = self.instance_index(&id)?;
                self.fleet()?.pause(index, span.0);
            }
            Command::Stop(id) => {
                let index = self.instance_index(&id)?;
                self.fleet()?.stop(index);
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
            } => self.set_upstream_states(&name, state, factor, by)?,
            other => return Err(format!("{other:?} is not expected here").into()),
        }
        Ok(String::new())
    }

    fn set_upstream_states(
        &mut self,
        name: &str,
        state: UpstreamState,
        factor: Option<f64>,
        by: Option<DurationArg>,
    ) -> Result<(), Box<dyn Error>> {
        let fleet = self.fleet()?;
        let matches = |id: &&UpstreamId| match name.strip_suffix('*') {
            Some(prefix) => id.as_str().starts_with(prefix),
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

/// Returns the fault of a state in a script, or `None` for a draining upstream.
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
        UpstreamState::Lying => UpstreamFault::FixedUtilization(factor.unwrap_or(0.0)),
        UpstreamState::Cold => UpstreamFault::Cold(factor.unwrap_or(FACTOR_DEFAULT)),
        UpstreamState::Draining => return None,
    })
}
