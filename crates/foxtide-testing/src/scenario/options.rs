//! Options of a scenario run.

/// Options of a scenario run.
#[derive(Clone, Copy, Debug)]
pub struct ScenarioOptions {
    /// Seed of the random number generators. Default: 1.
    pub seed: u64,
    /// Rule to break on purpose. Default: none.
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

/// A rule that is broken on purpose, to prove that the check of a promise detects it.
///
/// The decisions see a contract without the rule; the promises are checked against the
/// actual contract.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenRule {
    /// Traffic shifts at any rate.
    ShiftCap,
    /// Any share of a service may spill over.
    SpillLimit,
    /// Sold rates of regions and links are multiplied by ten.
    SoldRate,
    /// Every request is treated as idempotent.
    NonIdempotentRetry,
    /// Instances forget the idempotency keys of earlier requests.
    ForgottenKey,
    /// Drains of upstreams are ignored.
    Drain,
    /// An older configuration replaces a newer one.
    Revision,
}
