//! `foxtidectl explain …`: explains routing decisions.

mod decisions;
mod lookup;
mod request;

use crate::failure::Failure;
use crate::report::Report;
use crate::session::Session;
use argh::FromArgs;

/// Explain how look-ups and requests were routed
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct ExplainCommand {
    #[argh(subcommand)]
    action: Action,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Action {
    Lookup(lookup::Lookup),
    Request(request::Request),
}

impl ExplainCommand {
    /// Runs the command.
    pub(crate) async fn run(self, session: &Session) -> Result<Report, Failure> {
        match self.action {
            Action::Lookup(command) => command.run(session).await,
            Action::Request(command) => command.run(session).await,
        }
    }
}
