//! Runs an instance on the platform.

mod metrics;
mod reload;

use crate::{
    signals,
    telemetry, //
};
use anyhow::{
    Context,
    Result, //
};
use foxtide_events::{
    EventCode,
    log_event, //
};
use foxtide_gateway::Gateway;
use foxtide_platform::{
    PlatformDialect,
    PlatformSettings,
    PlatformStore,
    settings_path, //
};
use metrics::{
    MetricsListener,
    bind_metrics, //
};
use reload::reload;
use smol::Executor;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

/// Runs an instance until a stop signal, then stops it gracefully. Serves
/// metrics on `metrics_port` of the instance's address.
///
/// All tasks run on one thread because platform machines have less than one
/// core.
///
/// # Errors
///
/// Returns an error if the settings are invalid or an address cannot be bound.
pub fn run(metrics_port: Option<u16>) -> Result<()> {
    telemetry::start_structured_logging();
    let path = settings_path()?;
    let settings = PlatformSettings::load(&path)?;
    telemetry::set_instance(&settings.gateway.place.instance);
    let executor = Arc::new(Executor::new());
    let serving = serve(settings, &path, metrics_port, Arc::clone(&executor));
    smol::block_on(executor.run(serving))
}

/// Validates a settings file of the platform.
///
/// # Errors
///
/// Returns an error that names the file, the field and the valid values if the
/// settings are invalid.
pub fn check(file: &Path) -> Result<()> {
    let settings = PlatformSettings::load(file)?;
    let instance = settings.gateway.place.instance;
    println!("{}: valid settings of {instance}", file.display());
    Ok(())
}

async fn serve(
    settings: PlatformSettings,
    path: &Path,
    metrics_port: Option<u16>,
    executor: Arc<Executor<'static>>,
) -> Result<()> {
    let stop = signals::stop_signals().context("set up the signal handlers")?;
    let store = PlatformStore::new(settings.store.clone());
    let gateway = Gateway::start(
        settings.gateway.clone(),
        PlatformDialect,
        store,
        Arc::clone(&executor),
    )?;
    let gateway = Arc::new(gateway);
    let _reloading = executor.spawn(reload(path.to_owned(), settings, Arc::clone(&gateway)));
    let callers = gateway.caller_address();
    let metrics_listener = match metrics_port {
        Some(port) => Some(bind_metrics(SocketAddr::new(callers.ip(), port))?),
        None => None,
    };
    let metrics = metrics_listener.as_ref().map(MetricsListener::address);
    log_event!(EventCode::ProcessStarted, version = env!("CARGO_PKG_VERSION"), callers:% = callers, metrics:? = metrics);
    let _metrics = metrics_listener.map(|listener| executor.spawn(listener.serve()));
    let signal = stop.recv().await.context("wait for a stop signal")?;
    log_event!(EventCode::ProcessStopping, signal = signal);
    gateway.stop().await;
    log_event!(EventCode::ProcessStopped, signal = signal);
    telemetry::flush_log();
    Ok(())
}
