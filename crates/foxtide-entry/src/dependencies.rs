//! What the request path needs from the rest of an instance.
//!
//! Each trait is small, so that a test needs but a few lines to stand in for
//! it. All calls come from many workers at once and must not block.

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

/// The dependencies that an [`Entry`](crate::Entry) works with.
pub trait Dependencies: Send + Sync + 'static {
    /// Where instances are read.
    type Directory: Directory;
    /// The clocks.
    type Clock: Clock;
    /// What operators can read.
    type Admin: Admin;

    /// Returns where instances are read.
    fn directory(&self) -> &Self::Directory;
    /// Returns the clocks.
    fn clock(&self) -> &Self::Clock;
    /// Returns what operators can read.
    fn admin(&self) -> &Self::Admin;
    /// Returns the organisations with every decision's state.
    fn traffic(&self) -> &TrafficTables;
    /// Returns where events are recorded.
    fn recorder(&self) -> &Recorder;
    /// Returns where decisions are kept for explanations.
    fn explainer(&self) -> &Explainer;
    /// Returns the name of this process in idempotency keys.
    fn owner(&self) -> &OwnerId;
}

/// The instances that serve callers.
pub trait Directory: Send + Sync + 'static {
    /// Returns the instances that callers may use now.
    ///
    /// Leaving instances are not among them, this one neither once
    /// [`Directory::leave`] was called.
    fn instances(&self) -> Arc<[ServingInstance]>;

    /// Returns where callers reach an instance while its process is thought to
    /// run, also when it leaves and new callers are not sent there any more.
    fn address_of(&self, instance: &InstanceId) -> Option<SocketAddr>;

    /// Returns the region from which a caller with this address is to be
    /// served, where that is known.
    fn client_region(&self, organisation: &OrganisationId, client: IpAddr) -> Option<RegionId>;

    /// Returns the region that a caller with this address belongs to, whether or
    /// not it has live instances; `None` where that is not known.
    ///
    /// Requests of another region's callers then go where that region sends
    /// them, so that nothing shifts when its instances are gone.
    fn client_origin(&self, _client: IpAddr) -> Option<RegionId> {
        None
    }

    /// Takes this instance out of look-ups, here and at its peers.
    fn leave(&self);
}

/// An instance that callers may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ServingInstance {
    /// Its name.
    pub instance: InstanceId,
    /// Its process, as callers name it in idempotency keys.
    pub owner: OwnerId,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Its region.
    pub region: RegionId,
    /// Its availability zone.
    pub availability_zone: AvailabilityZoneId,
}

/// A page for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdminPage {
    /// The type of its content.
    pub content_type: &'static str,
    /// Its content.
    pub body: Vec<u8>,
}

/// The pages for operators that the entry does not answer itself.
pub trait Admin: Send + Sync + 'static {
    /// Returns the page at `path`, such as `/metrics` or `/v1/events`.
    ///
    /// `query` is the target's query as it was sent.
    fn page(&self, path: &str, query: Option<&str>) -> Option<AdminPage>;

    /// Tells whether a configuration is in force, so that callers can be served.
    fn is_ready(&self) -> bool;
}
