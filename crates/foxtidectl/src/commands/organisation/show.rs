//! `foxtidectl organisation show`: prints an organisation.

use crate::failure::Failure;
use crate::report::{
    Report,
    Table, //
};
use crate::session::Session;
use argh::FromArgs;
use foxtide_core::organisation::{
    Organisation,
    Service, //
};
use serde_json::json;

/// Show an organisation
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub(super) struct Show {
    /// the organisation's name
    #[argh(positional)]
    organisation: String,
}

impl Show {
    /// Prints a summary of the stored document, or all of it as JSON.
    pub(super) async fn run(self, session: &Session) -> Result<Report, Failure> {
        let document = session.load(&self.organisation).await?.document;
        let text = [
            header(&document),
            regions(&document),
            links(&document),
            services(&document),
        ];
        Ok(Report::new(text.join("\n"), json!(document)))
    }
}

fn header(document: &Organisation) -> String {
    let template = document.template.as_ref().map_or(String::new(), |used| {
        format!(", template {} v{}", used.name, used.version)
    });
    format!(
        "{} {}, change {}{template}, {} move(s), {} drain(s)\n",
        document.organisation,
        document.revision,
        document.change_id,
        document.moves.len(),
        document.drains.len()
    )
}

fn regions(document: &Organisation) -> String {
    let mut table = Table::new(["region", "sold", "availability zones"]);
    for region in &document.regions {
        let zones: Vec<&str> = region
            .availability_zones
            .iter()
            .map(|zone| zone.as_str())
            .collect();
        table.row([
            region.region.to_string(),
            region.sold_rate_rps.to_string(),
            zones.join(", "),
        ]);
    }
    table.text()
}

fn links(document: &Organisation) -> String {
    let mut table = Table::new(["link", "sold", "delay"]);
    for link in &document.links {
        table.row([
            link.id().to_string(),
            link.sold_rate_rps.to_string(),
            format!("{} ms", link.delay_ms),
        ]);
    }
    table.text()
}

fn services(document: &Organisation) -> String {
    let heading = [
        "service",
        "homes",
        "spill",
        "shift cap",
        "drain",
        "deadline",
        "upstreams",
    ];
    let mut table = Table::new(heading);
    for service in &document.services {
        table.row(service_cells(service));
    }
    table.text()
}

fn service_cells(service: &Service) -> [String; 7] {
    let contract = &service.contract;
    let homes = contract.homes.iter();
    let homes: Vec<String> = homes
        .map(|home| format!("{}={}", home.region, home.share))
        .collect();
    let slots: u32 = service
        .upstreams
        .iter()
        .map(|upstream| upstream.slots)
        .sum();
    [
        service.service.to_string(),
        homes.join(" "),
        contract.spill_limit_share.to_string(),
        contract.shift_cap_share_per_s.to_string(),
        format!("{} s", contract.drain_window_s),
        format!("{} ms", contract.deadline_ms),
        format!("{} ({slots} slots)", service.upstreams.len()),
    ]
}
