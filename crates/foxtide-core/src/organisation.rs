//! An organisation's configuration: regions, links, services, contracts,
//! moves and drains. One document an organisation, one key in the store.

use crate::ids::{
    AvailabilityZoneId,
    ChangeId,
    DrainId,
    InstanceId,
    LinkId,
    MoveId,
    OrganisationId,
    RegionId,
    ServiceId,
    UpstreamId, //
};
use crate::time::WallTime;
use crate::units::{
    RequestRate,
    Revision,
    Share,
    ShareRate, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The version of the document's form that this build writes.
pub const SCHEMA_VERSION: u32 = 1;

/// The most changes that a document remembers.
pub const HISTORY_MAX: usize = 20;

/// The whole configuration of one organisation, as the store holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The version of the document's form.
    pub schema_version: u32,
    /// The organisation's name.
    pub organisation: OrganisationId,
    /// The number of this state of the document; raised by every change.
    pub revision: Revision,
    /// The identity of the change that made this revision.
    pub change_id: ChangeId,
    /// The template that the document was made from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub template: Option<AppliedTemplate>,
    /// The regions in which the organisation has room.
    pub regions: Vec<Region>,
    /// The links between the regions, each direction on its own.
    pub links: Vec<Link>,
    /// The services.
    pub services: Vec<Service>,
    /// The planned moves of traffic between regions.
    #[serde(default)]
    pub moves: Vec<PlannedMove>,
    /// The announced drains.
    #[serde(default)]
    pub drains: Vec<Drain>,
    /// The latest accepted changes, the oldest first; at most [`HISTORY_MAX`].
    ///
    /// It stands inside the document so that a writer whose answer was lost
    /// finds its change also after others have built on it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub history: Vec<ChangeSummary>,
}

/// One accepted change, as the document remembers it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeSummary {
    /// The change's identity.
    pub change_id: ChangeId,
    /// The revision that it made.
    pub revision: Revision,
    /// Who made it.
    pub author: String,
    /// When it was written, by the writer's clock.
    pub written_us: WallTime,
    /// What it did, in one line.
    pub summary: String,
}

/// The template and the parameters that a document was made from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AppliedTemplate {
    /// The template's name.
    pub name: String,
    /// The template's version; a newer one changes nothing by itself.
    pub version: u32,
    /// The parameters as the operator gave them.
    pub parameters: BTreeMap<String, serde_json::Value>,
}

/// A region and what was sold there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// The region's name.
    pub region: RegionId,
    /// Its availability zones.
    pub availability_zones: Vec<AvailabilityZoneId>,
    /// The most that all services together may send to upstreams here.
    pub sold_rate_rps: RequestRate,
}

/// A directed link between two regions and what was sold on it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// The region of the sending instances.
    pub from: RegionId,
    /// The region of the receiving upstreams.
    pub to: RegionId,
    /// The most that all services together may send over it.
    pub sold_rate_rps: RequestRate,
    /// The delay one way, in milliseconds.
    pub delay_ms: f64,
}

impl Link {
    /// Returns the link's name.
    pub fn id(&self) -> LinkId {
        LinkId {
            from: self.from.clone(),
            to: self.to.clone(),
        }
    }
}

/// A service with its contract and its upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name.
    pub service: ServiceId,
    /// What was promised for it.
    pub contract: Contract,
    /// The targets that serve it.
    pub upstreams: Vec<Upstream>,
}

/// What was promised for a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// The regions in which the service is served, with the share of the
    /// traffic from outside of them that each takes. The shares sum to 1.
    pub homes: Vec<HomeRegion>,
    /// The most of the service's requests that may be served in another home
    /// than the planned one.
    pub spill_limit_share: Share,
    /// The fastest that the share of a region may change.
    pub shift_cap_share_per_s: ShareRate,
    /// How long a leaving upstream is given to end what is in flight, in seconds.
    pub drain_window_s: u32,
    /// How long a request may take where its caller names no deadline, in
    /// milliseconds.
    pub deadline_ms: u32,
    /// What is given up first when room is short.
    pub priority: Priority,
    /// The methods whose requests may be run more than once.
    pub idempotent_methods: Vec<String>,
    /// The beginnings of paths, after the service's own, whose requests may be
    /// run more than once whatever their method.
    #[serde(default)]
    pub idempotent_path_prefixes: Vec<String>,
}

/// A region in which a service is served.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HomeRegion {
    /// The region.
    pub region: RegionId,
    /// Its part of the traffic that comes from outside the homes.
    pub share: Share,
}

/// What a service weighs most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Latency first: short queues, reads are hedged, spill comes early.
    Latency,
    /// Headroom first: room is kept free, requests wait longer, spill comes late.
    Headroom,
}

/// One target of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// The upstream's name.
    pub upstream: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The region in which it stands.
    pub region: RegionId,
    /// The availability zone in which it stands.
    pub availability_zone: AvailabilityZoneId,
    /// How many requests it runs at the same time.
    pub slots: u32,
    /// How many connections it takes from all instances together.
    pub connections: u32,
}

/// A planned move of part of a service's traffic between two regions.
///
/// The position is a function of time, so that every instance, also one that
/// has just started, computes the same: the moved share is 0 until `start_us`,
/// then grows by `pace_share_per_s` each second up to `share`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedMove {
    /// The move's name.
    #[serde(rename = "move")]
    pub id: MoveId,
    /// The service whose traffic moves.
    pub service: ServiceId,
    /// The region that gives.
    pub from: RegionId,
    /// The region that takes.
    pub to: RegionId,
    /// The part of the giving region's traffic that moves in the end.
    pub share: Share,
    /// How fast it moves; at most the contract's shift cap.
    pub pace_share_per_s: ShareRate,
    /// When it starts.
    pub start_us: WallTime,
    /// When it was paused; the position stays what it was then.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub paused_us: Option<WallTime>,
}

/// An announced drain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// The drain's name.
    #[serde(rename = "drain")]
    pub id: DrainId,
    /// What leaves.
    pub target: DrainTarget,
    /// When it starts.
    pub start_us: WallTime,
}

/// What a drain takes out of service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainTarget {
    /// One upstream of a service.
    Upstream {
        /// The service.
        service: ServiceId,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// All upstreams and instances of an availability zone.
    AvailabilityZone(AvailabilityZoneId),
    /// All upstreams of a region; its traffic moves under the shift cap.
    Region(RegionId),
    /// One instance, which is left out of look-ups.
    Instance(InstanceId),
}

impl Organisation {
    /// Returns the service of this name.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.services.iter().find(|service| service.service == *id)
    }

    /// Returns the region of this name.
    pub fn region(&self, id: &RegionId) -> Option<&Region> {
        self.regions.iter().find(|region| region.region == *id)
    }

    /// Returns the link between two regions.
    pub fn link(&self, from: &RegionId, to: &RegionId) -> Option<&Link> {
        self.links
            .iter()
            .find(|link| link.from == *from && link.to == *to)
    }
}

impl Contract {
    /// Returns the time a request is given where its caller names no deadline.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms.into())
    }

    /// Tells whether a request may be run more than once (RFC 9110, section
    /// 9.2.2; the contract says which methods and paths are idempotent).
    ///
    /// `path` is what follows `/{organisation}/{service}` in the request.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        let same_method = |known: &String| known.eq_ignore_ascii_case(method);
        let same_path = |prefix: &String| is_below(path, prefix);
        self.idempotent_methods.iter().any(same_method)
            || self.idempotent_path_prefixes.iter().any(same_path)
    }
}

/// Tells whether a path lies at or below a prefix, whole segments compared.
///
/// A path that an upstream may read as another one (dot segments, empty
/// segments, escapes; RFC 3986, section 6.2.2) lies below no prefix, so that
/// it can never make a request idempotent that is not.
fn is_below(path: &str, prefix: &str) -> bool {
    let path = path.split(['?', '#']).next().unwrap_or_default();
    let plain = !path.contains("//") && !path.contains("/.") && !path.contains(['%', '\\', ';']);
    let rest = path.strip_prefix(prefix.trim_end_matches('/'));
    plain && rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn verify_paths_below_a_prefix() {
        assert!(is_below("/status/7", "/status"));
        assert!(is_below("/status?locker=7", "/status/"));
        assert!(!is_below("/statuses", "/status"));
        assert!(!is_below("/status/../unlock", "/status"));
        assert!(!is_below("/status/%2e%2e/unlock", "/status"));
        assert!(!is_below("/status//unlock", "/status"));
    }
}
