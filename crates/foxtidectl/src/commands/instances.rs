//! `foxtidectl instances`.

use crate::admin;
use crate::failure::Failure;
use crate::report::{
    Report,
    Table, //
};
use crate::session::Session;
use argh::FromArgs;

/// Show the instances as one of them knows them
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "instances")]
pub(crate) struct Instances {}

impl Instances {
    /// Asks the first instance that answers.
    pub(crate) async fn run(self, session: &Session) -> Result<Report, Failure> {
        let page = admin::fetch_any(&session.options().admin, "/v1/instances").await?;
        Ok(Report::new(Table::of_objects(&page).text(), page))
    }
}
