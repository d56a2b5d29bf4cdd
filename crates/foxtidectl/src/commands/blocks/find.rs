//! `foxtidectl blocks find`: the site of a client address.

use super::require_manifest;
use crate::failure::Failure;
use crate::report::Report;
use crate::session::Session;
use argh::FromArgs;
use foxtide_config::blocks::load_table;
use serde_json::json;
use std::net::IpAddr;

/// Show the site of a client address
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "find")]
pub(super) struct Find {
    /// the client address
    #[argh(positional)]
    client: IpAddr,
}

impl Find {
    /// Loads the table and looks up the address.
    pub(super) async fn run(self, session: &Session) -> Result<Report, Failure> {
        let manifest = require_manifest(session).await?.manifest;
        let table = load_table(session.store(), &manifest).await?;
        let client = self.client;
        let Some(site) = table.site_of(client) else {
            let text = format!("{client}: in no block (r{})", table.revision());
            return Ok(Report::new(text, json!({"client": client, "site": null})));
        };
        let (name, region) = (&site.site, &site.region);
        let text = format!(
            "{client}: site {name}, region {region} (r{})",
            table.revision()
        );
        Ok(Report::new(text, json!({"client": client, "site": site})))
    }
}
