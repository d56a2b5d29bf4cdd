//! Reloads the settings on a signal or when the file changes.

use crate::signals;
use foxtide_events::{
    EventCode,
    log_event, //
};
use foxtide_gateway::Gateway;
use foxtide_platform::{
    PlatformDialect,
    PlatformSettings, //
};
use smol::Timer;
use smol::future::or;
use std::path::{
    Path,
    PathBuf, //
};
use std::sync::Arc;
use std::time::{
    Duration,
    SystemTime, //
};

/// How often the modification time of the file is checked.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Applies changed bounds; other changes require a restart.
pub(super) async fn reload(
    path: PathBuf,
    mut settings: PlatformSettings,
    gateway: Arc<Gateway<PlatformDialect>>,
) {
    let signals = match signals::reload_signals() {
        Ok(signals) => signals,
        Err(error) => {
            log::error!("cannot set up the reload signal; settings reload is disabled: {error}");
            return;
        }
    };
    let mut changed_at = modified(&path);
    loop {
        let signalled = async { signals.recv().await.is_ok() };
        let interval_elapsed = async {
            Timer::after(FILE_CHECK_INTERVAL).await;
            false
        };
        let is_signalled = or(signalled, interval_elapsed).await;
        let modified_at = modified(&path);
        if !is_signalled && modified_at == changed_at {
            continue;
        }
        changed_at = modified_at;
        match PlatformSettings::load(&path) {
            Ok(newer) => {
                apply(&settings, &newer, &gateway);
                settings = newer;
            }
            Err(error) => log_event!(EventCode::SettingsRejected, cause:% = error),
        }
    }
}

fn apply(
    settings: &PlatformSettings,
    newer: &PlatformSettings,
    gateway: &Gateway<PlatformDialect>,
) {
    gateway.set_bounds(newer.gateway.bounds);
    let bounds_changed = settings.gateway.bounds != newer.gateway.bounds;
    let needs_restart = settings.gateway.addresses != newer.gateway.addresses
        || settings.gateway.place != newer.gateway.place
        || settings.store.address != newer.store.address;
    log_event!(
        EventCode::SettingsReloaded,
        bounds_changed = bounds_changed,
        needs_restart = needs_restart
    );
}

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path)
        .and_then(|file| file.modified())
        .ok()
}
