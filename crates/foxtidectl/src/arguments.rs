//! Command-line parsing.

use crate::ExitStatus;
use crate::commands::blocks::BlocksCommand;
use crate::commands::check::Check;
use crate::commands::drain::DrainCommand;
use crate::commands::explain::ExplainCommand;
use crate::commands::instances::Instances;
use crate::commands::losses::Losses;
use crate::commands::movement::MoveCommand;
use crate::commands::organisation::OrganisationCommand;
use crate::commands::promises::Promises;
use crate::commands::template::TemplateCommand;
use crate::commands::timeline::TimeLine;
use crate::options::Options;
use argh::FromArgs;
use foxtide_core::units::Revision;
use std::io::Write;
use std::net::SocketAddr;

/// The parsed command line.
#[derive(Debug)]
pub(crate) struct Arguments {
    pub(crate) options: Options,
    pub(crate) command: Command,
}

/// Manages organisations, drains, moves and client blocks of foxtide, and queries
/// its instances.
///
/// Exit status: 0 done, 1 refused or invalid, 2 usage error, 3 conflict,
/// 4 outcome unknown (run the command again), 5 store unreachable, 6 no instance
/// responded.
#[derive(Debug, FromArgs)]
struct CommandLine {
    /// the store's address, default 127.0.0.1:8500
    #[argh(option, default = "default_store()")]
    store: SocketAddr,
    /// the admin address of an instance; can be given several times
    #[argh(option)]
    admin: Vec<SocketAddr>,
    /// print the result as JSON
    #[argh(switch)]
    json: bool,
    /// write the change; without this flag it is only previewed
    #[argh(switch)]
    yes: bool,
    /// apply the change on top of a concurrent one, unless both change the same
    /// field
    #[argh(switch)]
    rebase: bool,
    /// reject the change unless this revision, such as r7, is the current one
    #[argh(option)]
    revision: Option<Revision>,
    /// the author recorded with the change, default $USER
    #[argh(option, default = "default_author()")]
    author: String,
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Organisation(OrganisationCommand),
    Drain(DrainCommand),
    Move(MoveCommand),
    Blocks(BlocksCommand),
    Template(TemplateCommand),
    Check(Check),
    Instances(Instances),
    Promises(Promises),
    Explain(ExplainCommand),
    Losses(Losses),
    TimeLine(TimeLine),
}

fn default_store() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 8_500))
}

fn default_author() -> String {
    std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned())
}

/// The requested help, or the usage error of an invalid command line.
#[derive(Debug)]
pub(crate) struct Help {
    text: String,
    is_requested: bool,
}

impl Help {
    /// Prints the help and returns the exit status.
    pub(crate) fn print(&self, output: &mut dyn Write, errors: &mut dyn Write) -> ExitStatus {
        // Write errors are ignored: the exit status still reports the result.
        if self.is_requested {
            let _ = writeln!(output, "{}", self.text.trim_end());
            return ExitStatus::Done;
        }
        let _ = writeln!(errors, "error: {}", self.text.trim_end());
        let _ = writeln!(errors, "next: see `foxtidectl --help`; nothing was changed");
        ExitStatus::Usage
    }
}

/// Parses the command line.
///
/// # Errors
///
/// Returns the text to print if the command line is invalid or asks for help.
pub(crate) fn parse(name: &str, arguments: &[String]) -> Result<Arguments, Help> {
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let line = CommandLine::from_args(&[name], &arguments).map_err(|exit| Help {
        text: exit.output,
        is_requested: exit.status.is_ok(),
    })?;
    let options = Options {
        store: line.store,
        admin: line.admin,
        json: line.json,
        yes: line.yes,
        rebase: line.rebase,
        revision: line.revision,
        author: line.author,
    };
    Ok(Arguments {
        options,
        command: line.command,
    })
}
