//! How a scenario runs.

/// How a scenario runs.
#[derive(Clone, Copy, Debug)]
pub struct ScenarioOptions {
    /// The seed of everything that comes by chance. Default: 1.
    pub seed: u64,
    /// The rule that the decisions are made to break. Default: none.
    pub broken_rule: Option<BrokenRule>,
}

impl Default for ScenarioOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            broken_rule: None,
        }
    }
}

/// A rule that is broken on purpose, to prove that a promise notices it.
///
/// The decisions are given inputs without the rule; the promises are checked
/// against the contract as it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenRule {
    /// Traffic shifts at any pace.
    ShiftCap,
    /// Any part of a service may spill over.
    SpillLimit,
    /// Sold rates of regions and links are taken to be ten times as high.
    SoldRate,
    /// Every request is taken to be idempotent.
    NonIdempotentRetry,
    /// A key's table forgets that the key was run.
    ForgottenKey,
    /// Announced drains of upstreams are not heard.
    Drain,
    /// An older configuration replaces a newer one.
    Revision,
}
