//! The command line of the `foxtide` binary.

use crate::{signals, telemetry};
use anyhow::{Context, Result, bail};
use argh::FromArgs;
use std::path::PathBuf;

/// Runs one entry instance of foxtide, or checks its settings.
#[derive(Debug, FromArgs)]
pub struct Command {
    /// file with the instance's settings, JSON with comments
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// file with settings to check; nothing is started
    #[argh(option)]
    pub check_settings: Option<PathBuf>,
    /// print the version and exit
    #[argh(switch)]
    pub version: bool,
}

/// Does what the command line says.
///
/// # Errors
///
/// Fails where the settings are wrong, an address cannot be bound or the
/// instance cannot be stopped cleanly.
pub fn run(command: &Command) -> Result<()> {
    if command.version {
        println!("foxtide {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    bail!("give --settings FILE or --check-settings FILE");
}
