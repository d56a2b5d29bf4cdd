//! `foxtidectl drain stop`: removes an announced drain.

use crate::change_document::{
    self,
    DocumentChange, //
};
use crate::failure::Failure;
use crate::report::Report;
use crate::session::Session;
use argh::FromArgs;

/// Stop a drain, so that its target receives new requests again
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "stop")]
pub(super) struct Stop {
    /// the organisation's name
    #[argh(positional)]
    organisation: String,
    /// the drain's name, as shown by `drain status`
    #[argh(positional)]
    drain: String,
}

impl Stop {
    /// Removes the drain. A missing drain is not an error, which makes the command
    /// idempotent.
    pub(super) async fn run(self, session: &Session) -> Result<Report, Failure> {
        let base = session.load(&self.organisation).await?;
        let mut document = base.document.clone();
        document
            .drains
            .retain(|drain| drain.id.as_str() != self.drain);
        let edit = DocumentChange {
            base: Some(base),
            document,
            summary: format!("stop drain {}", self.drain),
        };
        change_document::apply(session, edit).await
    }
}
