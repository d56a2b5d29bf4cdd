//! Runs an instance on the platform.

use crate::{
    signals,
    telemetry, //
};
use anyhow::{
    Context,
    Result, //
};
use foxtide_events::log_event;
use foxtide_gateway::Gateway;
use foxtide_platform::{
    PlatformDialect,
    PlatformSettings,
    PlatformStore,
    settings_path, //
};
use smol::Executor;
use std::sync::Arc;

/// Runs an instance until a stop signal, then stops it gracefully.
///
/// One thread runs all tasks: machines of the platform have a part of one core.
///
/// # Errors
///
/// Fails where the settings are wrong or an address cannot be bound.
pub fn run() -> Result<()> {
    telemetry::start_structured_logging();
    let path = settings_path()?;
    let settings = PlatformSettings::load(&path)?;
    let executor = Arc::new(Executor::new());
    smol::block_on(executor.run(serve(settings, Arc::clone(&executor))))
}

async fn serve(settings: PlatformSettings, executor: Arc<Executor<'static>>) -> Result<()> {
    let stop = signals::stop_signals().context("set up the signal handlers")?;
    let store = PlatformStore::new(settings.store);
    let instance = settings.gateway.place.instance.clone();
    let gateway = Gateway::start(settings.gateway, PlatformDialect, store, executor)?;
    log_event!(ProcessStarted, instance = instance.as_str(), version = env!("CARGO_PKG_VERSION"), callers:% = gateway.caller_address());
    let signal = stop.recv().await.context("wait for a stop signal")?;
    log_event!(ProcessStopping, signal = signal);
    gateway.stop().await;
    log_event!(ProcessStopped, signal = signal);
    log::logger().flush();
    Ok(())
}
