//! `foxtidectl template …`: the templates in a directory.

mod list;
mod show;

use crate::failure::Failure;
use crate::report::Report;
use argh::FromArgs;

/// Show templates
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "template")]
pub(crate) struct TemplateCommand {
    #[argh(subcommand)]
    action: Action,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Action {
    List(list::List),
    Show(show::Show),
}

impl TemplateCommand {
    /// Runs the command.
    pub(crate) fn run(self) -> Result<Report, Failure> {
        match self.action {
            Action::List(command) => command.run(),
            Action::Show(command) => command.run(),
        }
    }
}
