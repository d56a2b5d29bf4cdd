//! The configuration document of an organisation: regions, links, services,
//! contracts, moves and drains. The store holds each document under one key.

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

/// The schema version that this build writes.
pub const SCHEMA_VERSION: u32 = 1;

/// The maximum number of changes in a document's history.
pub const HISTORY_MAX: usize = 20;

/// The configuration of one organisation, as stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The document's schema version.
    pub schema_version: u32,
    /// The organisation's name.
    pub organisation: OrganisationId,
    /// The document's revision, incremented by every change.
    pub revision: Revision,
    /// The identifier of the change that made this revision.
    pub change_id: ChangeId,
    /// The template that the document was generated from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub template: Option<AppliedTemplate>,
    /// The regions in which the organisation has capacity.
    pub regions: Vec<Region>,
    /// The directed links between the regions.
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
    /// A writer that got no response looks its change up here.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub history: Vec<ChangeSummary>,
}

/// An entry of a document's history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeSummary {
    /// The change's identifier.
    pub change_id: ChangeId,
    /// The revision that the change made.
    pub revision: Revision,
    /// The author.
    pub author: String,
    /// The time of the change on the writer's clock.
    pub written_us: WallTime,
    /// A one-line description.
    pub summary: String,
}

/// A template and its parameters, from which a document was generated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AppliedTemplate {
    /// The template's name.
    pub name: String,
    /// The template's version; documents are not updated with newer versions.
    pub version: u32,
    /// The parameters given by the operator.
    pub parameters: BTreeMap<String, serde_json::Value>,
}

/// A region and its sold capacity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// The region's name.
    pub region: RegionId,
    /// Its availability zones.
    pub availability_zones: Vec<AvailabilityZoneId>,
    /// The limit on the rate of all services to upstreams in the region.
    pub sold_rate_rps: RequestRate,
}

/// A directed link between two regions and its sold capacity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// The region of the sending instances.
    pub from: RegionId,
    /// The region of the receiving upstreams.
    pub to: RegionId,
    /// The limit on the rate of all services over the link.
    pub sold_rate_rps: RequestRate,
    /// The one-way delay in milliseconds.
    pub delay_ms: f64,
}

impl Link {
    /// Returns the link's identifier.
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
    /// The service's contract.
    pub contract: Contract,
    /// The upstreams that serve it.
    pub upstreams: Vec<Upstream>,
}

/// The guarantees and limits of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// The home regions of the service, each with its share of the traffic from
    /// outside of them. The shares sum to 1.
    pub homes: Vec<HomeRegion>,
    /// The maximum share of requests that may spill over to another home region.
    pub spill_limit_share: Share,
    /// The maximum rate of change of a region's share.
    pub shift_cap_share_per_s: ShareRate,
    /// The time in seconds that a leaving upstream has to finish its requests.
    pub drain_window_s: u32,
    /// The default deadline of a request in milliseconds.
    pub deadline_ms: u32,
    /// The trade-off between latency and headroom.
    pub priority: Priority,
    /// The methods whose requests are idempotent.
    pub idempotent_methods: Vec<String>,
    /// Prefixes of paths, below the service's own, whose requests are idempotent
    /// whatever their method.
    #[serde(default)]
    pub idempotent_path_prefixes: Vec<String>,
}

/// A home region of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HomeRegion {
    /// The region.
    pub region: RegionId,
    /// Its share of the traffic from outside the home regions.
    pub share: Share,
}

/// The objective that a service prefers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Prefers low latency: short queues, hedged reads, early spill-over.
    Latency,
    /// Prefers headroom: reserved capacity, longer queues, late spill-over.
    Headroom,
}

/// A server of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// The upstream's name.
    pub upstream: UpstreamId,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its region.
    pub region: RegionId,
    /// Its availability zone.
    pub availability_zone: AvailabilityZoneId,
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// The maximum number of connections from all instances together.
    pub connections: u32,
}

/// A planned move of part of a service's traffic between two regions.
///
/// The moved share is a function of time, so that all instances agree on it: 0
/// until `start_us`, then growing by `pace_share_per_s` each second up to `share`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedMove {
    /// The move's name.
    #[serde(rename = "move")]
    pub id: MoveId,
    /// The service whose traffic moves.
    pub service: ServiceId,
    /// The source region.
    pub from: RegionId,
    /// The target region.
    pub to: RegionId,
    /// The share of the source region's traffic to move.
    pub share: Share,
    /// The rate of the move, at most the contract's shift cap.
    pub pace_share_per_s: ShareRate,
    /// The start of the move.
    pub start_us: WallTime,
    /// The time since which the move has been paused.
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
    /// The target.
    pub target: DrainTarget,
    /// The start of the drain.
    pub start_us: WallTime,
}

/// The target of a drain.
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
    /// All upstreams of a region; its traffic shifts at most at the shift cap.
    Region(RegionId),
    /// One instance, which look-ups omit.
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
    /// Returns the default deadline of a request.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms.into())
    }

    /// Returns whether a request is idempotent (RFC 9110, section 9.2.2) by the
    /// contract's methods and paths.
    ///
    /// `path` is the request's path after `/{organisation}/{service}`.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        let same_method = |known: &String| known.eq_ignore_ascii_case(method);
        let same_path = |prefix: &String| is_below(path, prefix);
        self.idempotent_methods.iter().any(same_method)
            || self.idempotent_path_prefixes.iter().any(same_path)
    }
}

/// Returns whether a path equals a prefix or lies below it, by whole segments.
///
/// Paths that an upstream may normalise (dot segments, empty segments, escapes;
/// RFC 3986, section 6.2.2) never match, so that they cannot make a request
/// idempotent that is not.
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
