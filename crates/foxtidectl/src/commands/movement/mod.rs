//! `foxtidectl move …`: planned moves of traffic between regions.

mod demand;
mod forecast;
mod pause;
mod plan;
mod resume;
mod start;
mod status;

use crate::failure::Failure;
use crate::report::Report;
use crate::session::Session;
use argh::FromArgs;

/// Manage planned moves of traffic between regions
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "move")]
pub(crate) struct MoveCommand {
    #[argh(subcommand)]
    action: Action,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Action {
    Plan(plan::Plan),
    Start(start::Start),
    Pause(pause::Pause),
    Resume(resume::Resume),
    Status(status::Status),
}

impl MoveCommand {
    /// Runs the command.
    pub(crate) async fn run(self, session: &Session) -> Result<Report, Failure> {
        match self.action {
            Action::Plan(command) => command.run(session).await,
            Action::Start(command) => command.run(session).await,
            Action::Pause(command) => command.run(session).await,
            Action::Resume(command) => command.run(session).await,
            Action::Status(command) => command.run(session).await,
        }
    }
}
