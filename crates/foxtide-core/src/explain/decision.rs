//! One look-up or request.

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

/// How many attempts are kept; later ones are only counted.
pub const ATTEMPTS_MAX: usize = 3;

/// What was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DecisionKind {
    /// Which instances a caller is told of.
    Lookup,
    /// Where a request went.
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
    /// With the upstream's whole answer.
    Answered,
    /// The upstream said that it did not run it.
    Refused,
    /// No byte of it went out.
    NotSent,
    /// It may have run.
    Unknown,
    /// Another attempt was faster, or the caller went away.
    Cancelled,
}

/// A look-up or a request and where it went.
///
/// It holds no text of its own: names are shared with the configuration and
/// the request's id is kept as its hash.
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
    /// Returns the decision taken at `at_us` by a rule, on the figures of a
    /// view, in favour of a region if any.
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

    /// Returns the decision with the id by which it can be asked for.
    pub fn with_request(mut self, request: &RequestId) -> Self {
        self.request_hash = hash(request);
        self
    }

    /// Replaces the rule and the region, as when a request spills over.
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

    /// Tells whether an operator is more likely to ask for this one: it did
    /// not simply go to the planned place and come back.
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
