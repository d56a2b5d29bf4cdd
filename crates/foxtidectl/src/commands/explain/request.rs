//! `foxtidectl explain request`.

use super::decisions;
use crate::failure::Failure;
use crate::report::Report;
use crate::session::Session;
use argh::FromArgs;
use foxtide_core::events::RequestId;

/// Explain where a request went
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "request")]
pub(super) struct Request {
    /// the request's id, from the answer's `foxtide-request-id`
    #[argh(positional)]
    id: String,
}

impl Request {
    /// Asks all instances.
    pub(super) async fn run(self, session: &Session) -> Result<Report, Failure> {
        let id: RequestId = self.id.parse()?;
        decisions::ask(session, &format!("request={id}"), "that request").await
    }
}
