//! Scripted scenarios and replayed traces over the pure decisions.
//!
//! A script sets up regions, contracts and load, injects faults, lets virtual
//! time pass and states what must hold. The decisions are those of
//! `foxtide-core` and the change flow of `foxtide-config`, unchanged; only what
//! stands around them is modelled: callers, the network, upstreams with slots,
//! and the store. Each instance has its own state and its own, possibly stale,
//! view of the others. docs/design/scenarios.md has the language.

mod assertion;
mod broken_rules;
mod callers;
mod command;
mod dissemination;
mod endings;
mod event;
mod exchange;
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
mod trouble;
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
