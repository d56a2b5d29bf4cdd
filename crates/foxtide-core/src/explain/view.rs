//! Snapshot of the figures behind the decisions of a service.

use crate::ids::{
    InstanceId,
    OrganisationId,
    RegionId,
    ServiceId,
    UpstreamId, //
};
use crate::time::WallTime;
use serde::{
    Deserialize,
    Serialize, //
};
use std::fmt;
use std::mem::size_of;

/// The id of a view within its process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ViewId(pub(super) u32);

impl fmt::Display for ViewId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A snapshot of the figures of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// The organisation.
    pub organisation: OrganisationId,
    /// The service.
    pub service: ServiceId,
    /// The revision of the configuration in force.
    pub revision: u64,
    /// The time of the snapshot.
    pub taken_us: WallTime,
    /// All candidates, including excluded ones.
    pub candidates: Vec<Candidate>,
}

impl View {
    /// Returns the memory of the view, in bytes, without the shared names.
    pub fn size_bytes(&self) -> usize {
        let figures = |c: &Candidate| c.figures.capacity() * size_of::<Figure>();
        let heap: usize = self.candidates.iter().map(figures).sum();
        size_of::<Self>() + heap + self.candidates.capacity() * size_of::<Candidate>()
    }
}

/// A possible destination of traffic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// The name.
    pub name: CandidateName,
    /// The region of an upstream or instance.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub region: Option<RegionId>,
    /// Why the candidate gets no traffic.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub excluded: Option<Exclusion>,
    /// The figures.
    pub figures: Vec<Figure>,
}

/// The name of a candidate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CandidateName {
    /// A region.
    Region(RegionId),
    /// An upstream.
    Upstream(UpstreamId),
    /// An instance.
    Instance(InstanceId),
}

/// The reason why a candidate gets no traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Exclusion {
    /// The contract does not name it.
    NotInContract,
    /// It is leaving.
    Draining,
    /// It was ejected after failures.
    Ejected,
    /// All of its slots are in use.
    SlotsTaken,
    /// It sheds load.
    Overloaded,
    /// It cannot be reached.
    Unreachable,
    /// It is suspected to have failed.
    Suspected,
    /// Its weight is zero.
    NoWeight,
    /// This instance's part of its region's sold rate is used up.
    RegionLimit,
    /// This instance's part of its link's sold rate is used up.
    LinkLimit,
    /// Its measurements are stale, which limits it to the minimum.
    Stale,
    /// It is outside this instance's subset.
    OtherSubset,
}

/// A figure and its age.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// The kind, which determines the unit.
    pub kind: FigureKind,
    /// The value.
    pub value: f32,
    /// The age at the time of the view, in milliseconds.
    pub age_ms: u32,
}

/// The kind of a figure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FigureKind {
    /// The share of the traffic directed there, from 0 to 1.
    WeightShare,
    /// The planned share, before limits and failures, from 0 to 1.
    PlannedShare,
    /// The share of the requests that spill over, from 0 to 1.
    SpillShare,
    /// The sold rate, in requests a second.
    SoldRps,
    /// This instance's part of the sold rate, in requests a second.
    AllowedRps,
    /// The recent rate sent, in requests a second.
    SentRps,
    /// The usable share of its upstreams, from 0 to 1.
    HealthyShare,
    /// The live instances there.
    LiveInstances,
    /// Requests in flight from this instance.
    InFlight,
    /// Slots that this instance may use.
    Slots,
    /// The load that the upstream reports, from 0 to 1.
    ReportedLoad,
    /// The recent latency, in milliseconds.
    LatencyMs,
    /// The share of recent attempts that failed, from 0 to 1.
    FailureShare,
    /// The share of the full weight during warm-up, from 0 to 1.
    RampShare,
}
