//! `foxtidectl blocks …`: client blocks.

mod change;
mod find;
mod load;
mod show;

use crate::failure::Failure;
use crate::report::Report;
use crate::session::Session;
use argh::FromArgs;
use foxtide_config::blocks::{
    self,
    PublishedBlocks,
    StoredManifest, //
};
use foxtide_core::blocks::{
    SiteIndex,
    SiteTable, //
};
use serde_json::json;

/// Manage client blocks
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "blocks")]
pub(crate) struct BlocksCommand {
    #[argh(subcommand)]
    action: Action,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Action {
    Load(load::Load),
    Set(change::Set),
    Remove(change::Remove),
    Find(find::Find),
    Show(show::Show),
}

impl BlocksCommand {
    /// Runs the command.
    pub(crate) async fn run(self, session: &Session) -> Result<Report, Failure> {
        match self.action {
            Action::Load(command) => command.run(session).await,
            Action::Set(command) => command.run(session).await,
            Action::Remove(command) => command.run(session).await,
            Action::Find(command) => command.run(session).await,
            Action::Show(command) => command.run(session).await,
        }
    }
}

/// Loads the manifest; fails if it does not exist.
async fn require_manifest(session: &Session) -> Result<StoredManifest, Failure> {
    let stored = blocks::load_manifest(session.store()).await?;
    let missing = || Failure::refused("there are no client blocks", "see `foxtidectl blocks load`");
    stored.ok_or_else(missing)
}

/// Returns the index of a site.
fn site_index(sites: &SiteTable, name: &str) -> Result<SiteIndex, Failure> {
    let found = sites.index_of(&name.parse()?);
    found.ok_or_else(|| {
        let problem = format!("there is no site `{name}`");
        Failure::refused(problem, "see `foxtidectl blocks show`; nothing was changed")
    })
}

fn accepted_report(published: &PublishedBlocks) -> Report {
    let revision = published.manifest.revision;
    let note = match published.settled {
        true => " (the response was lost; confirmed by reading the store)",
        false => "",
    };
    Report::new(
        format!("Accepted: client blocks r{revision}{note}."),
        json!({"written": true, "revision": revision, "settled": published.settled}),
    )
}

fn preview_report(text: &str) -> Report {
    let text = format!("{text}\nNot written. Add --yes before the command to write it.");
    Report::new(text, json!({"written": false}))
}
