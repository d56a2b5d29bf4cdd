//! The settings file of an instance.
//!
//! An instance has no disk of its own and learns nothing by itself: its name,
//! place and addresses stand in this file, which is JSON with comments.
//! docs/SETTINGS.md lists every field.

mod check;
mod limits;

pub use limits::{
    EventLimits,
    KeyLimits,
    Limits,
    LookupLimits,
    RequestLimits,
    ShutdownLimits,
    StoreLimits,
    UpstreamLimits, //
};

use crate::{
    Result,
    document, //
};
use foxtide_core::ids::{
    AvailabilityZoneId,
    InstanceId,
    OrganisationId,
    RegionId, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::net::{
    IpAddr,
    SocketAddr, //
};
use std::path::Path;

/// The settings of one instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The instance's name, unique in the cluster.
    pub instance: InstanceId,
    /// The region in which it stands.
    pub region: RegionId,
    /// The availability zone in which it stands.
    pub availability_zone: AvailabilityZoneId,
    /// The cluster's name; instances of other clusters are not talked to.
    pub cluster: String,
    /// Where callers send look-ups and requests.
    pub caller: Listener,
    /// Where operators and probes ask; never open to callers.
    pub admin: Listener,
    /// Where other instances of the cluster talk to it, over TCP and UDP.
    pub peer: Listener,
    /// The store's address.
    pub store_address: SocketAddr,
    /// The address of the list of live instances, if there is one.
    #[serde(default)]
    pub instance_list_address: Option<SocketAddr>,
    /// Peers to ask first; the list of instances adds to them.
    #[serde(default)]
    pub seed_peers: Vec<SocketAddr>,
    /// The organisations that callers may name; empty: all in the store.
    #[serde(default)]
    pub organisations: Vec<OrganisationId>,
    /// The address that connections to upstreams are made from, where the
    /// machine has several; else the system chooses.
    #[serde(default)]
    pub upstream_source: Option<IpAddr>,
    /// How many threads run the instance.
    #[serde(default = "default_workers")]
    pub workers: usize,
    /// Bounds on what the instance takes on.
    #[serde(default)]
    pub limits: Limits,
}

/// An address to listen on, and the one that others are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listener {
    /// The address that is bound.
    pub listen: SocketAddr,
    /// The address that others are told, where it differs.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
}

impl Listener {
    /// Returns the address that others are told.
    pub fn advertised(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }
}

const DEFAULT_WORKERS: usize = 2;

fn default_workers() -> usize {
    DEFAULT_WORKERS
}

impl Settings {
    /// Reads the settings from a file.
    ///
    /// # Errors
    ///
    /// Fails as [`Settings::parse`] does, and where the file cannot be read.
    pub fn load(path: &Path) -> Result<Self> {
        let text = document::read_text(path)?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Reads the settings from a text; `name` stands in the errors.
    ///
    /// # Errors
    ///
    /// Fails with the place of a fault of syntax or of a duplicate key, or
    /// with the path of a field that is unknown, missing or impossible.
    pub fn parse(name: &str, text: &str) -> Result<Self> {
        let settings: Self = document::parse(name, text)?;
        settings.check(name)?;
        Ok(settings)
    }
}
