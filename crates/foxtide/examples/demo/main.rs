//! Both tenants of today on embedded stand-ins, in one process.
//!
//! `cargo run --release --example demo` sends look-ups and requests, drains an
//! upstream, moves traffic, takes the store away, stops one instance and kills
//! another, and prints which promises held.

mod callers;
mod promises;
mod script;
mod tally;
mod world;

use anyhow::Result;
use std::process::ExitCode;
use std::sync::Arc;
use world::{INSTANCES, TENANTS, Tenant, World};

fn main() -> ExitCode {
    foxtide::telemetry::start_logging_at("error");
    match smol::block_on(run()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("demo: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<bool> {
    let tenants = TENANTS.map(|tenant| smol::spawn(run_tenant(tenant)));
    let mut promises = Vec::new();
    for tenant in tenants {
        promises.extend(tenant.await?);
    }
    Ok(promises::print_table(&promises))
}

async fn run_tenant(tenant: Tenant) -> Result<Vec<promises::Promise>> {
    let world = Arc::new(World::start(tenant).await?);
    println!("{:<11} {INSTANCES} instances serve", tenant.name);
    script::run(world).await
}
