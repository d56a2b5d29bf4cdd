//! What the decisions of a service rest on for a while.

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

/// The number of a view in its process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ViewId(pub(super) u32);

impl fmt::Display for ViewId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The figures of one service at one moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// The organisation.
    pub organisation: OrganisationId,
    /// The service.
    pub service: ServiceId,
    /// The revision of the configuration in force.
    pub revision: u64,
    /// When the figures were read.
    pub taken_us: WallTime,
    /// Everything that could be chosen, also what is excluded.
    pub candidates: Vec<Candidate>,
}

impl View {
    /// Returns the memory that the view takes, names aside, which it shares.
    pub fn size_bytes(&self) -> usize {
        let figures = |c: &Candidate| c.figures.capacity() * size_of::<Figure>();
        let heap: usize = self.candidates.iter().map(figures).sum();
        size_of::<Self>() + heap + self.candidates.capacity() * size_of::<Candidate>()
    }
}

/// Something that traffic could go to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// Its name.
    pub name: CandidateName,
    /// The region in which an upstream or instance stands.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub region: Option<RegionId>,
    /// Why it gets nothing at present.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub excluded: Option<Exclusion>,
    /// What is known of it.
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

/// Why a candidate gets nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Exclusion {
    /// The contract does not name it.
    NotInContract,
    /// It is leaving.
    Draining,
    /// It failed requests and was ejected.
    Ejected,
    /// All of its slots are taken.
    SlotsTaken,
    /// It sheds load.
    Overloaded,
    /// It cannot be reached.
    Unreachable,
    /// It is suspected to have failed.
    Suspected,
    /// Its weight is nought.
    NoWeight,
    /// This instance's part of its region's sold rate is used up.
    RegionLimit,
    /// This instance's part of its link's sold rate is used up.
    LinkLimit,
    /// Its measurements are too old to send more than the floor.
    Stale,
    /// It is none of this instance's subset.
    OtherSubset,
}

/// A figure and its age.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// What it measures; names its unit.
    pub kind: FigureKind,
    /// The figure.
    pub value: f32,
    /// How old it was when the view was taken, in milliseconds.
    pub age_ms: u32,
}

/// What a figure measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FigureKind {
    /// The part of the traffic that is to go there, from 0 to 1.
    WeightShare,
    /// The part by the plan, before limits and failures, from 0 to 1.
    PlannedShare,
    /// The part of the requests that spill over, from 0 to 1.
    SpillShare,
    /// The rate that was sold, in requests a second.
    SoldRps,
    /// This instance's part of the sold rate, in requests a second.
    AllowedRps,
    /// The rate sent lately, in requests a second.
    SentRps,
    /// The part of its upstreams that is usable, from 0 to 1.
    HealthyShare,
    /// The live instances there.
    LiveInstances,
    /// Requests in flight from this instance.
    InFlight,
    /// Slots that this instance may use.
    Slots,
    /// Load as the upstream reports it, from 0 to 1.
    ReportedLoad,
    /// Latency seen lately, in milliseconds.
    LatencyMs,
    /// Part of the attempts that failed lately, from 0 to 1.
    FailureShare,
    /// Part of the full weight while a cold cache warms, from 0 to 1.
    RampShare,
}
