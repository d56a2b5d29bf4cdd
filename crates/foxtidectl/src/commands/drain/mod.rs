//! `foxtidectl drain …`: announced drains.

mod start;
mod status;
mod stop;

use crate::failure::Failure;
use crate::report::Report;
use crate::session::Session;
use argh::FromArgs;
use foxtide_core::organisation::DrainTarget;

/// Manage drains
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct DrainCommand {
    #[argh(subcommand)]
    action: Action,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Action {
    Start(start::Start),
    Stop(stop::Stop),
    Status(status::Status),
}

impl DrainCommand {
    /// Runs the command.
    pub(crate) async fn run(self, session: &Session) -> Result<Report, Failure> {
        match self.action {
            Action::Start(command) => command.run(session).await,
            Action::Stop(command) => command.run(session).await,
            Action::Status(command) => command.run(session).await,
        }
    }
}

/// Formats the target of a drain.
fn describe(target: &DrainTarget) -> String {
    match target {
        DrainTarget::Upstream { service, upstream } => format!("upstream {service}/{upstream}"),
        DrainTarget::AvailabilityZone(zone) => format!("availability zone {zone}"),
        DrainTarget::Region(region) => format!("region {region}"),
        DrainTarget::Instance(instance) => format!("instance {instance}"),
    }
}
