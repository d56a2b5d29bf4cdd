//! `foxtidectl move plan`: previews the course of a move.

use super::start::{
    MoveArguments,
    build_move, //
};
use super::{
    demand,
    forecast, //
};
use crate::failure::Failure;
use crate::report::{
    Report,
    Table, //
};
use crate::session::Session;
use argh::FromArgs;
use foxtide_config::change;
use foxtide_core::organisation::{
    Organisation,
    PlannedMove, //
};
use foxtide_core::units::RequestRate;
use serde_json::json;
use std::time::Duration;

/// The number of steps in the table of a plan.
const PLAN_STEPS: u32 = 5;

/// Preview a move without writing it
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plan")]
pub(super) struct Plan {
    /// the organisation's name
    #[argh(positional)]
    organisation: String,
    /// the service whose traffic moves
    #[argh(option)]
    service: String,
    /// the source region
    #[argh(option)]
    from: String,
    /// the target region
    #[argh(option)]
    to: String,
    /// the share of the source region's traffic to move, such as 0.25
    #[argh(option)]
    share: String,
    /// the share to move per second, such as 0.01/s; default the contract's shift
    /// cap
    #[argh(option)]
    pace: Option<String>,
    /// the service's traffic that arrives in the source region, such as
    /// 300rps; if given, the move is checked against the sold rates
    #[argh(option)]
    demand: Option<RequestRate>,
}

impl Plan {
    /// Validates the move against the stored document and prints its course.
    pub(super) async fn run(self, session: &Session) -> Result<Report, Failure> {
        let base = session.load(&self.organisation).await?;
        let arguments = MoveArguments {
            service: self.service,
            from: self.from,
            to: self.to,
            share: self.share,
            pace: self.pace,
            start_delay: Duration::ZERO,
        };
        let movement = build_move(session, &base.document, &arguments)?;
        let mut document = base.document;
        document.moves.push(movement.clone());
        change::check(&document)?;
        if let Some(demand) = self.demand {
            demand::check(&document, &movement, demand)?;
        }
        Ok(plan_report(&document, &movement))
    }
}

fn plan_report(document: &Organisation, movement: &PlannedMove) -> Report {
    let whole = forecast::duration(document, movement);
    let regions = document.regions.iter().map(|one| one.region.to_string());
    let mut table = Table::with_columns(std::iter::once("after".to_owned()).chain(regions));
    for step in 0..=PLAN_STEPS {
        let after = whole * step / PLAN_STEPS;
        let shares = forecast::shares(document, movement, movement.start_us + after);
        let cells = shares.iter().map(|share| format!("{share:.3}"));
        let time = format!("{:.0} s", after.as_secs_f64());
        table.cells(std::iter::once(time).chain(cells));
    }
    let text = format!(
        "{} of {}'s traffic of {} moves to {} in {:.0} s; the move passes all checks.\n\
         Shares of the traffic arriving in {}, by time since the start and region:\n\n{}",
        movement.share,
        movement.from,
        movement.service,
        movement.to,
        whole.as_secs_f64(),
        movement.from,
        table.text()
    );
    Report::new(
        text,
        json!({"move": movement, "duration_s": whole.as_secs_f64()}),
    )
}
