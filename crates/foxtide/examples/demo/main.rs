//! Runs both example tenants in one process, with fake stores and upstreams,
//! and checks promises about the requests that are served meanwhile.
//!
//! `cargo run --release --example demo` sends look-ups and requests, drains an
//! upstream, moves traffic, drains a region, makes the store unavailable,
//! stops one instance and kills another, and prints which promises held.

mod callers;
mod deployment;
mod promises;
mod script;
mod stats;

use anyhow::{
    Result,
    bail, //
};
use argh::FromArgs;
use deployment::{
    Deployment,
    INSTANCES,
    TENANTS,
    Tenant, //
};
use foxtide::node::NodeOptions;
use foxtide_core::steering::SteeringOptions;
use std::process::ExitCode;
use std::sync::Arc;

/// The factor on the shift cap with `--break-promise shift-cap`; larger than
/// any contract allows.
const CAP_BREAKING_FACTOR: f64 = 50.0;

/// Runs both example tenants with fake stores and upstreams in one process,
/// and checks promises.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// break a promise on purpose, to check that it is reported; valid: shift-cap
    #[argh(option)]
    break_promise: Option<String>,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    foxtide::telemetry::start_logging_at("error");
    match smol::block_on(run(&arguments)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("demo: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(arguments: &Arguments) -> Result<bool> {
    let options = node_options(arguments)?;
    let tenants = TENANTS.map(|tenant| smol::spawn(run_tenant(tenant, options.clone())));
    let mut promises = Vec::new();
    for tenant in tenants {
        promises.extend(tenant.await?);
    }
    Ok(promises::print_table(&promises))
}

fn node_options(arguments: &Arguments) -> Result<NodeOptions> {
    let mut steering = SteeringOptions::default();
    match arguments.break_promise.as_deref() {
        None => {}
        Some("shift-cap") => steering.shift_cap_factor = CAP_BREAKING_FACTOR,
        Some(other) => bail!("--break-promise {other}: valid is shift-cap"),
    }
    Ok(NodeOptions { steering })
}

async fn run_tenant(tenant: Tenant, options: NodeOptions) -> Result<Vec<promises::Promise>> {
    let deployment = Arc::new(Deployment::start(tenant, &options).await?);
    println!("{:<11} {INSTANCES} instances are ready", tenant.name);
    script::run(deployment).await
}
