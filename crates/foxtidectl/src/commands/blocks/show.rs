//! `foxtidectl blocks show`: the sites and the size of the table.

use super::require_manifest;
use crate::failure::Failure;
use crate::report::{
    Report,
    Table, //
};
use crate::session::Session;
use argh::FromArgs;
use foxtide_core::blocks::{
    Manifest,
    Site, //
};
use serde_json::json;

/// Show the sites and the size of the table of client blocks
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub(super) struct Show {}

impl Show {
    /// Loads the manifest and prints its sites and sizes.
    pub(super) async fn run(self, session: &Session) -> Result<Report, Failure> {
        let manifest = require_manifest(session).await?.manifest;
        let text = format!("{}\n{}", summary(&manifest), sites(&manifest));
        let json = json!({
            "revision": manifest.revision,
            "base_revision": manifest.base_revision,
            "v4_blocks": manifest.base_blocks.v4_blocks,
            "v6_blocks": manifest.base_blocks.v6_blocks,
            "chunks": manifest.chunks.len(),
            "changes": manifest.deltas.len(),
            "sites": manifest.sites,
        });
        Ok(Report::new(text, json))
    }
}

fn summary(manifest: &Manifest) -> String {
    let blocks = manifest.base_blocks;
    format!(
        "r{}: {} v4 and {} v6 blocks in {} chunks of r{}, {} changes since",
        manifest.revision,
        blocks.v4_blocks,
        blocks.v6_blocks,
        manifest.chunks.len(),
        manifest.base_revision,
        manifest.deltas.len()
    )
}

fn sites(manifest: &Manifest) -> String {
    let mut table = Table::new(["site", "region", "alternatives"]);
    for site in manifest.sites.sites() {
        table.row([
            site.site.to_string(),
            site.region.to_string(),
            alternatives(site),
        ]);
    }
    table.text()
}

fn alternatives(site: &Site) -> String {
    let names = site.alternatives.iter().map(ToString::to_string);
    names.collect::<Vec<_>>().join(", ")
}
