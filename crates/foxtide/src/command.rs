//! The command line of the `foxtide` binary.

use crate::node::Node;
use crate::{
    platform,
    signals,
    telemetry, //
};
use anyhow::{
    Context,
    Result,
    bail, //
};
use argh::FromArgs;
use foxtide_config::Settings;
use std::path::{
    Path,
    PathBuf, //
};

/// Runs one entry instance of foxtide, or checks its settings.
#[derive(Debug, FromArgs)]
pub struct Command {
    /// file with the instance's settings, JSON with comments
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// file with settings to check, the platform's with --platform; nothing is
    /// started
    #[argh(option)]
    pub check_settings: Option<PathBuf>,
    /// run on the platform, by the settings file that its environment names
    #[argh(switch)]
    pub platform: bool,
    /// port on which the platform reads metrics, at the path /metrics; needs
    /// --platform
    #[argh(option)]
    pub metrics_port: Option<u16>,
    /// print the version and exit
    #[argh(switch)]
    pub version: bool,
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error if the arguments or settings are invalid or the instance
/// cannot start.
pub fn run(command: &Command) -> Result<()> {
    if command.version {
        println!("foxtide {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    if command.platform {
        return match &command.check_settings {
            Some(file) => platform::check(file),
            None => platform::run(command.metrics_port),
        };
    }
    if command.metrics_port.is_some() {
        bail!("--metrics-port needs --platform; else the settings' admin address serves metrics");
    }
    telemetry::start_logging();
    match (&command.check_settings, &command.settings) {
        (Some(file), _) => check_settings(file),
        (None, Some(file)) => smol::block_on(serve(&Settings::load(file)?)),
        (None, None) => bail!("give --settings FILE, --check-settings FILE or --platform"),
    }
}

fn check_settings(file: &Path) -> Result<()> {
    let settings = Settings::load(file)?;
    println!(
        "{}: valid settings of {}",
        file.display(),
        settings.instance
    );
    Ok(())
}

/// Runs an instance until a stop signal, then stops it gracefully.
async fn serve(settings: &Settings) -> Result<()> {
    let stop = signals::stop_signals().context("set up the signal handlers")?;
    let node = Node::start(settings)?;
    stop.recv().await.context("wait for a stop signal")?;
    node.stop().await;
    Ok(())
}
