//! `foxtidectl drain status`: lists the announced drains.

use super::describe;
use crate::failure::Failure;
use crate::report::{
    Report,
    Table, //
};
use crate::session::Session;
use argh::FromArgs;
use foxtide_core::organisation::{
    Drain,
    DrainTarget,
    Organisation, //
};
use foxtide_core::time::WallTime;
use serde_json::json;

/// Show the announced drains of an organisation
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(super) struct Status {
    /// the organisation's name
    #[argh(positional)]
    organisation: String,
}

impl Status {
    /// Lists the drains with their state at the current time.
    pub(super) async fn run(self, session: &Session) -> Result<Report, Failure> {
        let document = session.load(&self.organisation).await?.document;
        let now = session.now();
        let mut table = Table::new(["drain", "target", "state", "upstreams left to take work"]);
        for drain in &document.drains {
            table.row([
                drain.id.to_string(),
                describe(&drain.target),
                state(drain, now),
                remaining_upstreams(&document, drain),
            ]);
        }
        Ok(Report::new(table.text(), json!(document.drains)))
    }
}

fn state(drain: &Drain, now: WallTime) -> String {
    if drain.start_us > now {
        return format!("starts in {} s", (drain.start_us - now).as_secs());
    }
    format!("started {} s ago", (now - drain.start_us).as_secs())
}

/// Formats the number of remaining upstreams of each affected service.
fn remaining_upstreams(document: &Organisation, drain: &Drain) -> String {
    let affected = document.services.iter().filter_map(|service| {
        let all = service.upstreams.len();
        let leaving = service
            .upstreams
            .iter()
            .filter(|upstream| match &drain.target {
                DrainTarget::Upstream {
                    service: drained_service,
                    upstream: drained_upstream,
                } => *drained_service == service.service && *drained_upstream == upstream.upstream,
                DrainTarget::AvailabilityZone(zone) => *zone == upstream.availability_zone,
                DrainTarget::Region(region) => *region == upstream.region,
                DrainTarget::Instance(_) => false,
            });
        let leaving = leaving.count();
        (leaving > 0).then(|| format!("{} {}/{all}", service.service, all - leaving))
    });
    affected.collect::<Vec<String>>().join(", ")
}
