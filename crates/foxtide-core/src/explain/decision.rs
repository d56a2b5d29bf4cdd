//! The decision on one look-up or request.

use super::{
    Rule,
    ViewId, //
};
use crate::events::RequestId;
use crate::ids::{
    RegionId,
    UpstreamId, //
};
use crate::time::WallTime;
use crate::{
    Error,
    Result, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::str::FromStr;
use xxhash_rust::xxh3::xxh3_64;

/// The number of attempts stored per decision; later ones are only counted.
pub const ATTEMPTS_MAX: usize = 3;

/// The kind of a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DecisionKind {
    /// The instances returned to a caller.
    Lookup,
    /// The upstream chosen for a request, or its rejection.
    Request,
}

impl FromStr for DecisionKind {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        match text {
            "lookup" => Ok(Self::Lookup),
            "request" => Ok(Self::Request),
            _ => Err(Error::parse(text, "`lookup` or `request`")),
        }
    }
}

/// One attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// The upstream.
    pub upstream: UpstreamId,
    /// How it ended.
    pub result: AttemptResult,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptResult {
    /// The upstream answered completely.
    Answered,
    /// The upstream rejected the request without running it.
    Refused,
    /// No byte of the request was sent.
    NotSent,
    /// The request may have run.
    Unknown,
    /// Another attempt was faster, or the caller disconnected.
    Cancelled,
}

/// The decision on a look-up or a request.
///
/// It owns no text: names are shared with the configuration, and the request's
/// id is stored as a hash.
#[derive(Clone, Debug)]
pub struct Decision {
    pub(super) kind: DecisionKind,
    pub(super) rule: Rule,
    pub(super) view: ViewId,
    pub(super) at_us: WallTime,
    pub(super) request_hash: u64,
    pub(super) region: Option<RegionId>,
    pub(super) attempts: [Option<Attempt>; ATTEMPTS_MAX],
    pub(super) attempts_made: u8,
}

impl Decision {
    /// Returns the decision made at `at_us` by a rule, based on a view, for a
    /// region if any.
    pub fn new(
        kind: DecisionKind,
        rule: Rule,
        view: ViewId,
        region: Option<RegionId>,
        at_us: WallTime,
    ) -> Self {
        Self {
            kind,
            rule,
            view,
            at_us,
            request_hash: 0,
            region,
            attempts: Default::default(),
            attempts_made: 0,
        }
    }

    /// Returns the decision with the id by which it can be queried.
    pub fn with_request(mut self, request: &RequestId) -> Self {
        self.request_hash = hash(request);
        self
    }

    /// Replaces the rule and the region, for example on spill-over.
    pub fn redirect(&mut self, rule: Rule, region: Option<RegionId>) {
        self.rule = rule;
        self.region = region;
    }

    /// Adds an attempt.
    pub fn add_attempt(&mut self, upstream: UpstreamId, result: AttemptResult) {
        let index = usize::from(self.attempts_made);
        if let Some(slot) = self.attempts.get_mut(index) {
            *slot = Some(Attempt { upstream, result });
        }
        self.attempts_made = self.attempts_made.saturating_add(1);
    }

    /// Returns whether the decision deviated from the plan or needed more than
    /// one successful attempt; such decisions are kept longer.
    pub(super) fn is_unusual(&self) -> bool {
        let planned = matches!(
            self.rule,
            Rule::OwnRegion | Rule::Weighted | Rule::ClientRegion | Rule::ClientBlock
        );
        let answered = |attempt: &Attempt| attempt.result == AttemptResult::Answered;
        !planned || self.attempts_made > 1 || !self.attempts.iter().flatten().all(answered)
    }
}

pub(super) fn hash(request: &RequestId) -> u64 {
    xxh3_64(request.as_str().as_bytes())
}
