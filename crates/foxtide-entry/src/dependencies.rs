//! Interfaces through which the entry uses the rest of the instance.
//!
//! The methods are called concurrently from all workers and must not block.

use crate::clock::Clock;
use crate::traffic::TrafficTables;
use foxtide_core::idempotency::OwnerId;
use foxtide_core::ids::{
    AvailabilityZoneId,
    InstanceId,
    OrganisationId,
    RegionId, //
};
use foxtide_events::{
    Explainer,
    Recorder, //
};
use serde::Serialize;
use std::net::{
    IpAddr,
    SocketAddr, //
};
use std::sync::Arc;

/// Components of the instance that an [`Entry`](crate::Entry) uses.
pub trait Dependencies: Send + Sync + 'static {
    /// Directory of serving instances.
    type Directory: Directory;
    /// Clocks.
    type Clock: Clock;
    /// Admin pages.
    type Admin: Admin;

    /// Returns the directory of serving instances.
    fn directory(&self) -> &Self::Directory;
    /// Returns the clocks.
    fn clock(&self) -> &Self::Clock;
    /// Returns the admin pages.
    fn admin(&self) -> &Self::Admin;
    /// Returns the traffic state of all organisations.
    fn traffic(&self) -> &TrafficTables;
    /// Returns the event recorder.
    fn recorder(&self) -> &Recorder;
    /// Returns the recorder of decisions for explanations.
    fn explainer(&self) -> &Explainer;
    /// Returns the owner id of this process in idempotency keys.
    fn owner(&self) -> &OwnerId;
}

/// Directory of the instances that serve callers.
pub trait Directory: Send + Sync + 'static {
    /// Returns the instances that callers may use.
    ///
    /// Leaving instances are excluded, including this one after
    /// [`Directory::leave`].
    fn instances(&self) -> Arc<[ServingInstance]>;

    /// Returns the caller address of an instance whose process is believed to
    /// run, even if it is leaving and excluded from look-ups.
    fn address_of(&self, instance: &InstanceId) -> Option<SocketAddr>;

    /// Returns the region that should serve a caller with this address, if
    /// known.
    fn client_region(&self, organisation: &OrganisationId, client: IpAddr) -> Option<RegionId>;

    /// Returns the region to which a caller with this address belongs, if
    /// known, even if the region has no live instances.
    ///
    /// Requests from callers of another region are routed by that region's
    /// weights, so that traffic does not shift when its instances fail.
    fn client_origin(&self, _client: IpAddr) -> Option<RegionId> {
        None
    }

    /// Removes this instance from look-ups, locally and at its peers.
    fn leave(&self);
}

/// An instance that callers may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ServingInstance {
    /// Instance id.
    pub instance: InstanceId,
    /// Owner id of its process in idempotency keys.
    pub owner: OwnerId,
    /// Address of its caller listener.
    pub address: SocketAddr,
    /// Region.
    pub region: RegionId,
    /// Availability zone.
    pub availability_zone: AvailabilityZoneId,
}

/// Content of an admin page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdminPage {
    /// Content type.
    pub content_type: &'static str,
    /// Body.
    pub body: Vec<u8>,
}

/// Admin pages that the entry does not serve itself.
pub trait Admin: Send + Sync + 'static {
    /// Returns the page at `path`, such as `/metrics` or `/v1/events`.
    ///
    /// `query` is the raw query string.
    fn page(&self, path: &str, query: Option<&str>) -> Option<AdminPage>;

    /// Returns whether a configuration is in force, so that callers can be
    /// served.
    fn is_ready(&self) -> bool;
}
