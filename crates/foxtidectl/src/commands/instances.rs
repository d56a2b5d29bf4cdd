//! `foxtidectl instances`: the instances known to one of them.

use crate::admin;
use crate::failure::Failure;
use crate::report::{
    Report,
    Table, //
};
use crate::session::Session;
use argh::FromArgs;

/// Show the instances known to the first instance that responds
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "instances")]
pub(crate) struct Instances {}

impl Instances {
    /// Lists the instances known to the first instance that responds.
    pub(crate) async fn run(self, session: &Session) -> Result<Report, Failure> {
        let page = admin::fetch_any(&session.options().admin, "/v1/instances").await?;
        Ok(Report::new(Table::from_objects(&page).text(), page))
    }
}
