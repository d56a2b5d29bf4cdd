//! Operators of a scenario: they read the document, change it, and are told
//! what became of the change.

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

/// What an operator changes.
#[derive(Clone, Debug)]
pub(super) enum Edit {
    /// Traffic of a service moves between two regions.
    Move {
        service: ServiceId,
        from: RegionId,
        to: RegionId,
        share: Share,
        pace: ShareRate,
    },
    /// Something leaves.
    Drain(DrainTarget),
    /// A service's spill-over limit.
    Spill { service: ServiceId, limit: Share },
    /// A region's sold rate.
    Sold { region: RegionId, rate: RequestRate },
}

/// What a drain is of, in a script.
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
    /// Puts the first document into the store and starts all instances.
    ///
    /// # Errors
    ///
    /// Fails where the document cannot be accepted.
    pub(super) fn open(&mut self) -> Result<(), ChangeError> {
        let request = ChangeRequest {
            base: None,
            document: self.contract.clone(),
            author: "setting".to_owned(),
            summary: "the setting of the scenario".to_owned(),
        };
        let accepted = smol::block_on(accept(&self.store, request))?;
        self.accepted(accepted.document);
        for place in 0..self.instances.len() {
            self.start_process(place);
        }
        Ok(())
    }

    /// Lets an operator read the document.
    ///
    /// # Errors
    ///
    /// Fails where the store does.
    pub(super) fn read_document(&self) -> Result<Option<StoredDocument>, ChangeError> {
        smol::block_on(load(&self.store, &self.contract.organisation))
    }

    /// Lets an operator change what they have read. Returns what they are told.
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
            Ok(accepted) => self.told_accepted(accepted),
            Err(error) => told_not_accepted(&error),
        }
    }

    fn told_accepted(&mut self, accepted: AcceptedChange) -> String {
        let revision = accepted.document.revision;
        self.accepted(accepted.document);
        if accepted.settled {
            format!("accepted {revision}, found by reading")
        } else {
            format!("accepted {revision}")
        }
    }

    /// Notes that a document was accepted, and wakes the store's watches.
    fn accepted(&mut self, document: Organisation) {
        let at = self.now;
        let revision = document.revision;
        self.contract = document;
        self.record.accepted.push(AcceptedRevision { revision, at });
        self.note_drains();
        let watched = !matches!(self.store.fault(), StoreFault::Down);
        for place in 0..self.instances.len() {
            if watched && self.instances[place].is_awake() {
                self.watch_store(place);
            }
        }
    }

    /// Notes which upstreams have been announced as leaving.
    fn note_drains(&mut self) {
        for service in &self.contract.services {
            for upstream in &service.upstreams {
                let leaves = upstream_leaves_at(&self.contract, &service.service, upstream);
                let id = upstream.upstream.clone();
                if leaves.is_some() {
                    self.record.drains.entry(id).or_insert(self.now);
                } else {
                    self.record.drains.remove(&id);
                }
            }
        }
    }
}

/// Returns what an operator is told of a change that was not accepted.
///
/// The words are the scenario's own: scripts do not follow those of the errors.
pub(super) fn told_not_accepted(error: &ChangeError) -> String {
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
    /// Returns the drain of something by its name.
    ///
    /// # Errors
    ///
    /// Fails where the name is no name, or an upstream's service is missing.
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
            Self::Spill { service, .. } => format!("spill-over limit of {service}"),
            Self::Sold { region, .. } => format!("sold rate of {region}"),
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
            Self::Spill { service, limit } => {
                let mut services = document.services.iter_mut();
                if let Some(service) = services.find(|known| known.service == service) {
                    service.contract.spill_limit_share = limit;
                }
            }
            Self::Sold { region, rate } => {
                let mut regions = document.regions.iter_mut();
                if let Some(region) = regions.find(|known| known.region == region) {
                    region.sold_rate_rps = rate;
                }
            }
        }
        Ok(())
    }
}
