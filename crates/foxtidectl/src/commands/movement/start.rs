//! `foxtidectl move start`: schedules a move.

use crate::change_document::{
    self,
    DocumentChange, //
};
use crate::failure::Failure;
use crate::report::Report;
use crate::session::Session;
use argh::FromArgs;
use foxtide_core::ids::{
    MoveId,
    ServiceId, //
};
use foxtide_core::organisation::{
    Organisation,
    PlannedMove, //
};
use std::time::Duration;

/// The default delay before a move starts, longer than a change takes to reach all
/// instances.
const DEFAULT_START_DELAY_S: u32 = 20;

/// Start moving a share of a region's traffic to another region
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "start")]
pub(super) struct Start {
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
    /// the delay before the move starts in seconds, default 20
    #[argh(option, default = "DEFAULT_START_DELAY_S")]
    in_s: u32,
}

/// A move as given on the command line.
#[derive(Debug)]
pub(super) struct MoveArguments {
    pub(super) service: String,
    /// The source region.
    pub(super) from: String,
    /// The receiving region.
    pub(super) to: String,
    /// The share of the source region's traffic.
    pub(super) share: String,
    /// The share that moves per second; the contract's shift cap by default.
    pub(super) pace: Option<String>,
    /// The delay before the move starts.
    pub(super) start_delay: Duration,
}

impl Start {
    /// Adds the move to the document.
    pub(super) async fn run(self, session: &Session) -> Result<Report, Failure> {
        let base = session.load(&self.organisation).await?;
        let arguments = MoveArguments {
            service: self.service,
            from: self.from,
            to: self.to,
            share: self.share,
            pace: self.pace,
            start_delay: Duration::from_secs(self.in_s.into()),
        };
        let movement = build_move(session, &base.document, &arguments)?;
        let summary = describe(&movement);
        let mut document = base.document.clone();
        if !is_in_progress(&document, &movement)? {
            document.moves.push(movement);
        }
        let edit = DocumentChange {
            base: Some(base),
            document,
            summary,
        };
        change_document::apply(session, edit).await
    }
}

/// Builds the move from the arguments.
pub(super) fn build_move(
    session: &Session,
    document: &Organisation,
    arguments: &MoveArguments,
) -> Result<PlannedMove, Failure> {
    let service: ServiceId = arguments.service.parse()?;
    let Some(found) = document.service(&service) else {
        let known = document.services.iter().map(|one| one.service.as_str());
        let known: Vec<&str> = known.collect();
        let problem = format!("there is no service `{service}`");
        return Err(Failure::refused(
            problem,
            format!("use one of {}", known.join(", ")),
        ));
    };
    let pace_share_per_s = match &arguments.pace {
        Some(text) => text.parse()?,
        None => found.contract.shift_cap_share_per_s,
    };
    Ok(PlannedMove {
        id: move_id(arguments)?,
        service,
        from: arguments.from.parse()?,
        to: arguments.to.parse()?,
        share: arguments.share.parse()?,
        pace_share_per_s,
        start_us: session.now() + arguments.start_delay,
        paused_us: None,
    })
}

/// Derives the move's id from its service and regions.
fn move_id(arguments: &MoveArguments) -> Result<MoveId, Failure> {
    let MoveArguments {
        service, from, to, ..
    } = arguments;
    Ok(format!("{service}-{from}-{to}").parse()?)
}

/// Returns whether the document already contains the same move, which makes the command
/// idempotent.
fn is_in_progress(document: &Organisation, movement: &PlannedMove) -> Result<bool, Failure> {
    let Some(known) = document.moves.iter().find(|known| known.id == movement.id) else {
        return Ok(false);
    };
    let same_share = known.share == movement.share;
    if same_share && known.pace_share_per_s == movement.pace_share_per_s {
        return Ok(true);
    }
    let problem = format!(
        "move `{}` already exists with another share or pace",
        known.id
    );
    let advice = "see `foxtidectl move status`; pause the move, or move the rest back first";
    Err(Failure::refused(problem, advice))
}

fn describe(movement: &PlannedMove) -> String {
    let PlannedMove {
        service,
        from,
        to,
        share,
        pace_share_per_s,
        ..
    } = movement;
    format!("move {share} of {service} from {from} to {to} at {pace_share_per_s}")
}
