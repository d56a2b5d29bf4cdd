//! Simulates operators, who read the organisation's document and submit changes to it.

use super::fleet::Fleet;
use super::instance::true_wall;
use super::record::AcceptedRevision;
use super::store::StoreFault;
use foxtide_config::change::{
    AcceptedChange,
    ChangeError,
    ChangeRequest,
    StoredDocument,
    accept,
    load, //
};
use foxtide_core::ids::{
    AvailabilityZoneId,
    InstanceId,
    RegionId,
    ServiceId,
    UpstreamId, //
};
use foxtide_core::organisation::{
    Drain,
    DrainTarget,
    Organisation,
    PlannedMove, //
};
use foxtide_core::steering::upstream_leaves_at;
use foxtide_core::time::WallTime;
use foxtide_core::units::{
    RequestRate,
    Share,
    ShareRate, //
};

/// A change to the document.
#[derive(Clone, Debug)]
pub(super) enum Edit {
    /// Adds a planned move of a service's traffic between two regions.
    Move {
        service: ServiceId,
        from: RegionId,
        to: RegionId,
        share: Share,
        pace: ShareRate,
    },
    /// Adds a drain.
    Drain(DrainTarget),
    /// Sets a service's spill-over limit.
    SpillLimit { service: ServiceId, limit: Share },
    /// Sets a region's sold rate.
    SoldRate { region: RegionId, rate: RequestRate },
}

/// The kind of a drain's target in a script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DrainKind {
    Upstream,
    Zone,
    Region,
    Instance,
}

impl std::str::FromStr for DrainKind {
    type Err = foxtide_core::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "upstream" => Ok(Self::Upstream),
            "zone" => Ok(Self::Zone),
            "region" => Ok(Self::Region),
            "instance" => Ok(Self::Instance),
            _ => {
                let expected = "`upstream`, `zone`, `region` or `instance`";
                Err(foxtide_core::Error::parse(text, expected))
            }
        }
    }
}

impl Fleet {
    /// Writes the first document to the store and starts all instances.
    ///
    /// # Errors
    ///
    /// Fails if the document is not accepted.
    pub(super) fn start(&mut self) -> Result<(), ChangeError> {
        let request = ChangeRequest {
            base: None,
            document: self.organisation.clone(),
            author: "setting".to_owned(),
            summary: "the setting of the scenario".to_owned(),
        };
        let accepted = smol::block_on(accept(&self.store, request))?;
        self.record_acceptance(accepted.document);
        for index in 0..self.instances.len() {
            self.start_process(index);
        }
        Ok(())
    }

    /// Reads the document from the store.
    ///
    /// # Errors
    ///
    /// Fails if the store does.
    pub(super) fn read_document(&self) -> Result<Option<StoredDocument>, ChangeError> {
        smol::block_on(load(&self.store, &self.organisation.organisation))
    }

    /// Submits a change to the document `base` and returns the line that a script prints
    /// for its result.
    pub(super) fn change(&mut self, operator: &str, base: StoredDocument, edit: &Edit) -> String {
        let mut document = base.document.clone();
        let number = document.revision.next();
        if let Err(error) = edit.apply(&mut document, true_wall(self.now), number.get()) {
            return format!("refused: {error}");
        }
        let request = ChangeRequest {
            base: Some(base),
            document,
            author: operator.to_owned(),
            summary: edit.summary(),
        };
        match smol::block_on(accept(&self.store, request)) {
            Ok(accepted) => self.acceptance_text(accepted),
            Err(error) => rejection_text(&error),
        }
    }

    fn acceptance_text(&mut self, accepted: AcceptedChange) -> String {
        let revision = accepted.document.revision;
        self.record_acceptance(accepted.document);
        if accepted.settled {
            format!("accepted {revision}, found by reading")
        } else {
            format!("accepted {revision}")
        }
    }

    /// Records an accepted document and wakes the instances that watch the store.
    fn record_acceptance(&mut self, document: Organisation) {
        let at = self.now;
        let revision = document.revision;
        self.organisation = document;
        self.record.accepted.push(AcceptedRevision { revision, at });
        self.record_drains();
        let is_store_up = !matches!(self.store.fault(), StoreFault::Down);
        for index in 0..self.instances.len() {
            if is_store_up && self.instances[index].is_awake() {
                self.watch_store(index);
            }
        }
    }

    /// Records when each leaving upstream was announced.
    fn record_drains(&mut self) {
        for service in &self.organisation.services {
            for upstream in &service.upstreams {
                let leaves_at = upstream_leaves_at(&self.organisation, &service.service, upstream);
                let id = upstream.upstream.clone();
                if leaves_at.is_some() {
                    self.record.drains.entry(id).or_insert(self.now);
                } else {
                    self.record.drains.remove(&id);
                }
            }
        }
    }
}

/// Returns the line that a script prints for a change that was not accepted.
///
/// The text is independent of the error's own message, so that scripts need not follow
/// it.
pub(super) fn rejection_text(error: &ChangeError) -> String {
    match error {
        ChangeError::Invalid(_) => "refused: invalid".to_owned(),
        ChangeError::NotFound(_) => "refused: no such organisation".to_owned(),
        ChangeError::Store(_) => "refused: the store was not reached".to_owned(),
        ChangeError::Conflict(conflict) => {
            let (accepted, contested) = (conflict.accepted, &conflict.conflicting_paths);
            format!("conflict with {accepted}: {}", contested.join(", "))
        }
        ChangeError::Unsettled { .. } => {
            "unsettled: it may have taken effect; safe to run again".to_owned()
        }
    }
}

impl Edit {
    /// Returns the drain of a named target.
    ///
    /// # Errors
    ///
    /// Fails if the name is invalid, or the service of an upstream is missing.
    pub(super) fn drain(
        kind: DrainKind,
        name: &str,
        service: Option<ServiceId>,
    ) -> Result<Self, foxtide_core::Error> {
        let target = match kind {
            DrainKind::Upstream => DrainTarget::Upstream {
                service: service
                    .ok_or_else(|| foxtide_core::Error::parse(name, "given with a service"))?,
                upstream: name.parse::<UpstreamId>()?,
            },
            DrainKind::Zone => DrainTarget::AvailabilityZone(name.parse::<AvailabilityZoneId>()?),
            DrainKind::Region => DrainTarget::Region(name.parse::<RegionId>()?),
            DrainKind::Instance => DrainTarget::Instance(name.parse::<InstanceId>()?),
        };
        Ok(Self::Drain(target))
    }

    fn summary(&self) -> String {
        match self {
            Self::Move {
                service, from, to, ..
            } => format!("move {service} from {from} to {to}"),
            Self::Drain(_) => "drain".to_owned(),
            Self::SpillLimit { service, .. } => format!("spill-over limit of {service}"),
            Self::SoldRate { region, .. } => format!("sold rate of {region}"),
        }
    }

    fn apply(
        &self,
        document: &mut Organisation,
        now: WallTime,
        number: u64,
    ) -> Result<(), foxtide_core::Error> {
        match self.clone() {
            Self::Move {
                service,
                from,
                to,
                share,
                pace,
            } => document.moves.push(PlannedMove {
                id: format!("move-{number}").parse()?,
                service,
                from,
                to,
                share,
                pace_share_per_s: pace,
                start_us: now,
                paused_us: None,
            }),
            Self::Drain(target) => document.drains.push(Drain {
                id: format!("drain-{number}").parse()?,
                target,
                start_us: now,
            }),
            Self::SpillLimit { service, limit } => {
                let mut services = document.services.iter_mut();
                if let Some(service) = services.find(|known| known.service == service) {
                    service.contract.spill_limit_share = limit;
                }
            }
            Self::SoldRate { region, rate } => {
                let mut regions = document.regions.iter_mut();
                if let Some(region) = regions.find(|known| known.region == region) {
                    region.sold_rate_rps = rate;
                }
            }
        }
        Ok(())
    }
}
