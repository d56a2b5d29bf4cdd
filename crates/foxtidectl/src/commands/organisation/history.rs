//! `foxtidectl organisation history`: lists the accepted changes.

use crate::failure::Failure;
use crate::report::{
    Report,
    Table,
    utc, //
};
use crate::session::Session;
use argh::FromArgs;
use serde_json::json;

/// Show the latest accepted changes of an organisation
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub(super) struct History {
    /// the organisation's name
    #[argh(positional)]
    organisation: String,
}

impl History {
    /// Prints the changes recorded in the document, newest first.
    pub(super) async fn run(self, session: &Session) -> Result<Report, Failure> {
        let document = session.load(&self.organisation).await?.document;
        let mut table = Table::new(["revision", "written", "author", "summary", "change"]);
        for change in document.history.iter().rev() {
            table.row([
                change.revision.to_string(),
                utc(change.written_us),
                change.author.clone(),
                change.summary.clone(),
                change.change_id.to_string(),
            ]);
        }
        Ok(Report::new(table.text(), json!(document.history)))
    }
}
