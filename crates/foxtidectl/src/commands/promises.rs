//! `foxtidectl promises`.

use crate::admin;
use crate::failure::Failure;
use crate::report::{Report, Table};
use crate::session::Session;
use argh::FromArgs;

/// Show what was promised and whether it holds, as one instance sees it
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "promises")]
pub(crate) struct Promises {
    /// only those of this organisation
    #[argh(option)]
    organisation: Option<String>,
}

impl Promises {
    /// Asks the first instance that answers.
    pub(crate) async fn run(self, session: &Session) -> Result<Report, Failure> {
        let page = match &self.organisation {
            Some(name) => format!("/v1/promises?organisation={name}"),
            None => "/v1/promises".to_owned(),
        };
        let page = admin::ask_any(&session.options().admin, &page).await?;
        Ok(Report::new(Table::of_objects(&page).text(), page))
    }
}
