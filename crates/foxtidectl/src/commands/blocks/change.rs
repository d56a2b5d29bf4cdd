//! `foxtidectl blocks set` and `foxtidectl blocks remove`: change single client blocks.

use super::{
    accepted_report,
    preview_report,
    require_manifest,
    site_index, //
};
use crate::failure::Failure;
use crate::report::Report;
use crate::session::Session;
use argh::FromArgs;
use foxtide_config::blocks;
use foxtide_core::blocks::Block;
use ipnet::IpNet;

/// Assign a client block to a site
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "set")]
pub(super) struct Set {
    /// the block, such as 10.1.0.0/16
    #[argh(positional)]
    block: String,
    /// the site
    #[argh(positional)]
    site: String,
}

/// Remove a client block
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "remove")]
pub(super) struct Remove {
    /// the block, such as 10.1.0.0/16
    #[argh(positional)]
    block: String,
}

impl Set {
    /// Assigns the block to the site.
    pub(super) async fn run(self, session: &Session) -> Result<Report, Failure> {
        let net = parse_block(&self.block)?;
        let base = require_manifest(session).await?;
        let site = site_index(&base.manifest.sites, &self.site)?;
        if !session.options().yes {
            return Ok(preview_report(&format!("+ {net} -> {}", self.site)));
        }
        let set = vec![Block { net, site }];
        let published = blocks::change(session.store(), &base, set, Vec::new()).await?;
        Ok(accepted_report(&published))
    }
}

impl Remove {
    /// Removes the block from the table.
    pub(super) async fn run(self, session: &Session) -> Result<Report, Failure> {
        let net = parse_block(&self.block)?;
        let base = require_manifest(session).await?;
        if !session.options().yes {
            return Ok(preview_report(&format!("- {net}")));
        }
        let published = blocks::change(session.store(), &base, Vec::new(), vec![net]).await?;
        Ok(accepted_report(&published))
    }
}

/// Parses a block. Bits set beyond the prefix length are an error: the intended block is
/// ambiguous.
fn parse_block(text: &str) -> Result<IpNet, Failure> {
    let net: Option<IpNet> = text.parse().ok();
    net.filter(|net| net.trunc() == *net).ok_or_else(|| {
        let problem = format!("`{text}` is not a valid address block");
        let advice =
            "write it as 10.1.0.0/16 or 2001:db8::/32, no bits set beyond the prefix length";
        Failure::refused(problem, advice)
    })
}
