//! `foxtidectl blocks load`: replaces all sites and client blocks.

use super::{
    accepted_report,
    preview_report,
    site_index, //
};
use crate::failure::Failure;
use crate::report::Report;
use crate::session::Session;
use argh::FromArgs;
use foxtide_config::{
    blocks,
    document, //
};
use foxtide_core::blocks::{
    Block,
    Site,
    SiteTable, //
};
use ipnet::IpNet;
use serde::{
    Deserialize,
    Serialize, //
};
use std::collections::BTreeMap;
use std::path::Path;

/// Replace all sites and client blocks with those of a file
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub(super) struct Load {
    /// a file of JSON with comments: the list `sites` and the map `blocks` from
    /// client block to site
    #[argh(positional)]
    file: String,
}

/// The content of a blocks file.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct BlocksFile {
    sites: Vec<Site>,
    blocks: BTreeMap<IpNet, String>,
}

impl Load {
    /// Replaces the table by that of the file.
    pub(super) async fn run(self, session: &Session) -> Result<Report, Failure> {
        let text = document::read_text(Path::new(&self.file))?;
        let file: BlocksFile = document::parse(&self.file, &text)?;
        let sites = SiteTable::new(file.sites)?;
        let mut list = Vec::new();
        for (net, site) in &file.blocks {
            let site = site_index(&sites, site)?;
            list.push(Block { net: *net, site });
        }
        if !session.options().yes {
            let count = sites.sites().len();
            let text = format!("{} blocks, {count} sites", list.len());
            return Ok(preview_report(&text));
        }
        let base = blocks::load_manifest(session.store()).await?;
        let published = blocks::replace(session.store(), base.as_ref(), sites, &list).await?;
        Ok(accepted_report(&published))
    }
}
