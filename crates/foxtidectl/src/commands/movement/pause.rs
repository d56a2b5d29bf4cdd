//! `foxtidectl move pause`: holds a move at its current position.

use crate::change_document::{
    self,
    DocumentChange, //
};
use crate::failure::Failure;
use crate::report::Report;
use crate::session::Session;
use argh::FromArgs;
use foxtide_core::organisation::{
    Organisation,
    PlannedMove, //
};

/// Pause a move at its current position
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "pause")]
pub(super) struct Pause {
    /// the organisation's name
    #[argh(positional)]
    organisation: String,
    /// the move's name, as shown by `move status`
    #[argh(positional)]
    movement: String,
}

impl Pause {
    /// Records the time of the pause; a move that is already paused is unchanged.
    pub(super) async fn run(self, session: &Session) -> Result<Report, Failure> {
        let base = session.load(&self.organisation).await?;
        let mut document = base.document.clone();
        let movement = find_move(&mut document, &self.movement)?;
        movement.paused_us = movement.paused_us.or(Some(session.now()));
        let edit = DocumentChange {
            base: Some(base),
            document,
            summary: format!("pause move {}", self.movement),
        };
        change_document::apply(session, edit).await
    }
}

/// Returns the move with this id.
pub(super) fn find_move<'a>(
    document: &'a mut Organisation,
    name: &str,
) -> Result<&'a mut PlannedMove, Failure> {
    let mut moves = document.moves.iter_mut();
    moves
        .find(|known| known.id.as_str() == name)
        .ok_or_else(|| {
            let problem = format!("there is no move `{name}`");
            Failure::refused(problem, "see `foxtidectl move status`")
        })
}
