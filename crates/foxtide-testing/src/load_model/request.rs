//! State of a caller's attempt.

use foxtide_core::admission::Patience;
use foxtide_core::time::MonotonicTime;

/// Identifies an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct RequestId(pub(super) u64);

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Requests a slot of the first choice within the objective.
    FirstChoice,
    /// Requests a free slot of the second choice, without waiting.
    SecondChoice,
    /// Waits for a slot until the deadline.
    UntilDeadline,
    Sent,
    Ended,
}

#[derive(Clone, Debug)]
pub(super) struct Request {
    /// Region of the caller.
    pub(super) region: usize,
    /// Instance that handles it.
    pub(super) instance: usize,
    pub(super) object: u64,
    /// Time of the caller's first attempt.
    pub(super) first_attempt_at: MonotonicTime,
    /// Time of this attempt.
    pub(super) arrived_at: MonotonicTime,
    /// Number of earlier attempts of the caller.
    pub(super) retries: u32,
    /// Whether the caller ignores retry delays.
    pub(super) is_impatient: bool,
    /// The object's preferred upstreams, best first.
    pub(super) order: Vec<usize>,
    /// The best other upstream within the region.
    pub(super) second_choice: Option<usize>,
    /// Patience at the second choice.
    pub(super) second_patience: Patience,
    /// Current target.
    pub(super) upstream: usize,
    /// Number of refusals by upstreams.
    pub(super) refusals: u32,
    pub(super) stage: Stage,
    /// Whether a coordinator answered the latest slot request.
    pub(super) is_answered: bool,
}
