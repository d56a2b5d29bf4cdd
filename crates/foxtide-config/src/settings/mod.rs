//! The settings file of an instance: JSON with comments.
//!
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

/// Settings of an instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, unique in the cluster.
    pub instance: InstanceId,
    /// Region of the instance.
    pub region: RegionId,
    /// Availability zone of the instance.
    pub availability_zone: AvailabilityZoneId,
    /// Name of the cluster; instances of other clusters are ignored.
    pub cluster: String,
    /// Listener for callers' look-ups and requests.
    pub caller: Listener,
    /// Listener for operators and probes; must not be open to callers.
    pub admin: Listener,
    /// Listener for other instances of the cluster, over TCP and UDP.
    pub peer: Listener,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// Address of the platform's list of instances, if any.
    #[serde(default)]
    pub instance_list_address: Option<SocketAddr>,
    /// Peers for joining the mesh, in addition to the list of instances.
    #[serde(default)]
    pub seed_peers: Vec<SocketAddr>,
    /// Organisations that are served; empty for all in the store.
    #[serde(default)]
    pub organisations: Vec<OrganisationId>,
    /// Source address of connections to upstreams; the system chooses if absent.
    #[serde(default)]
    pub upstream_source: Option<IpAddr>,
    /// Number of worker threads.
    #[serde(default = "default_workers")]
    pub workers: usize,
    /// Limits of the instance.
    #[serde(default)]
    pub limits: Limits,
}

/// An address to listen on and the advertised one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listener {
    /// Address to bind.
    pub listen: SocketAddr,
    /// Advertised address, if different.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
}

impl Listener {
    /// Returns the address to advertise.
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
    /// Fails like [`Settings::parse`], and if the file cannot be read.
    pub fn load(path: &Path) -> Result<Self> {
        let text = document::read_text(path)?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Parses settings; errors contain `name`.
    ///
    /// # Errors
    ///
    /// Fails with the position of a syntax error or duplicate key, or with the path of an
    /// unknown, missing or invalid field.
    pub fn parse(name: &str, text: &str) -> Result<Self> {
        let settings: Self = document::parse(name, text)?;
        settings.check(name)?;
        Ok(settings)
    }
}
