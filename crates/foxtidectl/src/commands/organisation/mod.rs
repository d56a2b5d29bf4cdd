//! `foxtidectl organisation …`: organisations and their documents.

mod create;
mod diff;
mod edit;
mod history;
mod list;
mod parameters;
mod show;

use crate::failure::Failure;
use crate::report::Report;
use crate::session::Session;
use argh::FromArgs;

/// Manage organisations
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "organisation")]
pub(crate) struct OrganisationCommand {
    #[argh(subcommand)]
    action: Action,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Action {
    Create(create::Create),
    Edit(edit::Edit),
    List(list::List),
    Show(show::Show),
    Diff(diff::Diff),
    History(history::History),
}

impl OrganisationCommand {
    /// Runs the command.
    pub(crate) async fn run(self, session: &Session) -> Result<Report, Failure> {
        match self.action {
            Action::Create(command) => command.run(session).await,
            Action::Edit(command) => command.run(session).await,
            Action::List(command) => command.run(session).await,
            Action::Show(command) => command.run(session).await,
            Action::Diff(command) => command.run(session).await,
            Action::History(command) => command.run(session).await,
        }
    }
}
