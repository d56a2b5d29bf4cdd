//! `foxtidectl explain lookup`: explains the latest look-ups of a service.

use super::decisions;
use crate::failure::Failure;
use crate::report::Report;
use crate::session::Session;
use argh::FromArgs;

/// Explain the latest look-ups of a service
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "lookup")]
pub(super) struct Lookup {
    /// the organisation's name
    #[argh(positional)]
    organisation: String,
    /// the service
    #[argh(positional)]
    service: String,
}

impl Lookup {
    /// Queries all instances.
    pub(super) async fn run(self, session: &Session) -> Result<Report, Failure> {
        let Self {
            organisation,
            service,
        } = &self;
        let query = format!("kind=lookup&organisation={organisation}&service={service}");
        decisions::explain(session, &query, "a look-up of this service").await
    }
}
