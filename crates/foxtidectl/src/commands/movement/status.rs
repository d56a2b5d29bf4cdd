//! `foxtidectl move status`: lists the moves and their positions.

use super::forecast;
use crate::failure::Failure;
use crate::report::{
    Report,
    Table, //
};
use crate::session::Session;
use argh::FromArgs;
use foxtide_core::organisation::{
    Organisation,
    PlannedMove, //
};
use foxtide_core::time::WallTime;
use serde_json::{
    Value,
    json, //
};

/// Show the moves of an organisation and their progress
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(super) struct Status {
    /// the organisation's name
    #[argh(positional)]
    organisation: String,
}

impl Status {
    /// Lists the moves with their position at the current time.
    pub(super) async fn run(self, session: &Session) -> Result<Report, Failure> {
        let document = session.load(&self.organisation).await?.document;
        let now = session.now();
        let mut table = Table::new(["move", "moved", "of", "pace", "state"]);
        for movement in &document.moves {
            table.row([
                movement.id.to_string(),
                format!("{:.3}", forecast::position(&document, movement, now)),
                movement.share.to_string(),
                movement.pace_share_per_s.to_string(),
                state(&document, movement, now),
            ]);
        }
        let moves = document.moves.iter();
        let json: Vec<Value> = moves
            .map(|movement| {
                let position = forecast::position(&document, movement, now);
                json!({"move": movement, "moved_share": position})
            })
            .collect();
        Ok(Report::new(table.text(), json!(json)))
    }
}

fn state(document: &Organisation, movement: &PlannedMove, now: WallTime) -> String {
    let end = movement.start_us + forecast::duration(document, movement);
    if movement.paused_us.is_some() {
        return "paused".to_owned();
    }
    if now < movement.start_us {
        return format!("starts in {} s", (movement.start_us - now).as_secs());
    }
    if now < end {
        return format!("done in {} s", (end - now).as_secs());
    }
    "done".to_owned()
}
