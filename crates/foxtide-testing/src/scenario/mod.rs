//! Simulation of a fleet in virtual time, driven by a script or a recorded trace.
//!
//! A script defines regions, contracts and load, injects faults, advances virtual time
//! and asserts what must hold. The decision code of `foxtide-core` and the change flow of
//! `foxtide-config` run unmodified; callers, network, upstreams and the store are
//! simulated. Each instance has its own state and its own, possibly stale, view of the
//! others. docs/design/scenarios.md describes the script language.

mod assertion;
mod attempt;
mod broken_rules;
mod callers;
mod command;
mod completion;
mod dissemination;
mod event;
mod fault_commands;
mod faults;
mod fleet;
mod instance;
mod network;
mod operation;
mod operators;
mod options;
mod process;
mod promise;
mod record;
mod requests;
mod runner;
mod schedule;
mod setting;
mod shift_cap;
mod spill_limit;
mod store;
mod tenants;
mod trace;
mod upstream;

pub use options::{
    BrokenRule,
    ScenarioOptions, //
};
pub use promise::{
    Promise,
    Verdict, //
};
pub use runner::{
    ScenarioRunner,
    ScriptLine, //
};
pub use trace::TraceError;
