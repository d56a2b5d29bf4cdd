//! `foxtidectl move resume`: continues a paused move.

use super::pause::find_move;
use crate::change_document::{
    self,
    DocumentChange, //
};
use crate::failure::Failure;
use crate::report::Report;
use crate::session::Session;
use argh::FromArgs;
use foxtide_core::organisation::PlannedMove;
use foxtide_core::time::WallTime;

/// Resume a paused move from its current position
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "resume")]
pub(super) struct Resume {
    /// the organisation's name
    #[argh(positional)]
    organisation: String,
    /// the move's name, as shown by `move status`
    #[argh(positional)]
    movement: String,
}

impl Resume {
    /// Shifts the start time by the length of the pause, so that the move continues
    /// from its position.
    pub(super) async fn run(self, session: &Session) -> Result<Report, Failure> {
        let base = session.load(&self.organisation).await?;
        let mut document = base.document.clone();
        resume(find_move(&mut document, &self.movement)?, session.now());
        let edit = DocumentChange {
            base: Some(base),
            document,
            summary: format!("resume move {}", self.movement),
        };
        change_document::apply(session, edit).await
    }
}

/// Resumes a move at its current position.
///
/// Instances that receive the change late catch up within the shift cap.
fn resume(movement: &mut PlannedMove, now: WallTime) {
    if let Some(paused) = movement.paused_us.take() {
        let moved_for = paused.since(movement.start_us);
        movement.start_us = now.saturating_sub(moved_for);
    }
}
