//! `foxtidectl drain start`: announces a drain.

use super::describe;
use crate::admin;
use crate::change_document::{
    self,
    DocumentChange, //
};
use crate::failure::Failure;
use crate::report::Report;
use crate::session::Session;
use argh::FromArgs;
use foxtide_core::ids::DrainId;
use foxtide_core::organisation::{
    Drain,
    DrainTarget,
    Organisation, //
};
use std::time::Duration;

/// Drain an upstream, an instance, an availability zone or a region
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "start")]
pub(super) struct Start {
    /// the organisation's name
    #[argh(positional)]
    organisation: String,
    /// the upstream to drain, as SERVICE/UPSTREAM
    #[argh(option)]
    upstream: Option<String>,
    /// the instance to drain
    #[argh(option)]
    instance: Option<String>,
    /// the availability zone to drain
    #[argh(option)]
    availability_zone: Option<String>,
    /// the region to drain
    #[argh(option)]
    region: Option<String>,
    /// the delay before the drain starts in seconds, default 0
    #[argh(option, default = "0")]
    in_s: u32,
}

impl Start {
    /// Adds the drain to the document.
    pub(super) async fn run(self, session: &Session) -> Result<Report, Failure> {
        let target = self.target()?;
        check_instance_exists(session, &target).await?;
        let base = session.load(&self.organisation).await?;
        let document = self.with_drain(session, &base.document, &target)?;
        let edit = DocumentChange {
            base: Some(base),
            document,
            summary: format!("drain {}", describe(&target)),
        };
        change_document::apply(session, edit).await
    }

    fn target(&self) -> Result<DrainTarget, Failure> {
        let zone = self.availability_zone.as_deref();
        let region = self.region.as_deref();
        match (
            self.upstream.as_deref(),
            self.instance.as_deref(),
            zone,
            region,
        ) {
            (Some(text), None, None, None) => parse_upstream(text),
            (None, Some(name), None, None) => Ok(DrainTarget::Instance(name.parse()?)),
            (None, None, Some(name), None) => Ok(DrainTarget::AvailabilityZone(name.parse()?)),
            (None, None, None, Some(name)) => Ok(DrainTarget::Region(name.parse()?)),
            _ => Err(Failure::refused(
                "a drain needs exactly one target",
                "give one of --upstream, --instance, --availability-zone and --region",
            )),
        }
    }

    /// Returns the document with the drain added, or unchanged if the target is
    /// already drained, which makes the command idempotent.
    fn with_drain(
        &self,
        session: &Session,
        document: &Organisation,
        target: &DrainTarget,
    ) -> Result<Organisation, Failure> {
        let mut changed = document.clone();
        if document.drains.iter().any(|drain| drain.target == *target) {
            return Ok(changed);
        }
        changed.drains.push(Drain {
            id: drain_id(target)?,
            target: target.clone(),
            start_us: session.now() + Duration::from_secs(self.in_s.into()),
        });
        Ok(changed)
    }
}

/// Refuses a target instance that is unknown to the first admin listener that responds.
/// Documents do not list instances, so a misspelt name would have no effect.
async fn check_instance_exists(session: &Session, target: &DrainTarget) -> Result<(), Failure> {
    let admin = &session.options().admin;
    let DrainTarget::Instance(wanted) = target else {
        return Ok(());
    };
    if admin.is_empty() {
        return Ok(());
    }
    let page = admin::fetch_any(admin, "/v1/instances").await?;
    let rows = page.as_array().into_iter().flatten();
    let known: Vec<&str> = rows
        .filter_map(|row| row.get("instance")?.as_str())
        .collect();
    if known.contains(&wanted.as_str()) {
        return Ok(());
    }
    let problem = format!("no instance `{wanted}` is known");
    Err(Failure::refused(
        problem,
        format!("use one of {}", known.join(", ")),
    ))
}

fn parse_upstream(text: &str) -> Result<DrainTarget, Failure> {
    let Some((service, upstream)) = text.split_once('/') else {
        let problem = format!("--upstream: `{text}` has no service name");
        return Err(Failure::refused(
            problem,
            "write it as --upstream SERVICE/UPSTREAM",
        ));
    };
    Ok(DrainTarget::Upstream {
        service: service.parse()?,
        upstream: upstream.parse()?,
    })
}

/// Derives the drain's id from its target.
fn drain_id(target: &DrainTarget) -> Result<DrainId, Failure> {
    let name = match target {
        DrainTarget::Upstream { service, upstream } => format!("{service}-{upstream}"),
        DrainTarget::AvailabilityZone(zone) => format!("zone-{zone}"),
        DrainTarget::Region(region) => format!("region-{region}"),
        DrainTarget::Instance(instance) => format!("instance-{instance}"),
    };
    Ok(name.parse()?)
}
