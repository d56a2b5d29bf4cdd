//! One attempt of a caller.

use foxtide_core::time::MonotonicTime;

/// The number of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct RequestId(pub(super) u64);

/// Where an attempt stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Asks for a slot of its own upstream, and rather goes elsewhere than be late.
    FirstChoice,
    /// Asks whether the second choice has a slot free.
    SecondChoice,
    /// Waits for a slot as long as there is time.
    UntilDeadline,
    /// Was sent.
    Sent,
    /// Has ended.
    Ended,
}

/// An attempt.
#[derive(Clone, Debug)]
pub(super) struct Request {
    /// The region in which it arose.
    pub(super) region: usize,
    /// The instance that has it.
    pub(super) instance: usize,
    /// Its object.
    pub(super) object: u64,
    /// When its caller first asked.
    pub(super) first_attempt_at: MonotonicTime,
    /// When this attempt came.
    pub(super) arrived_at: MonotonicTime,
    /// How often its caller came back.
    pub(super) retries: u32,
    /// Whether its caller comes back at once.
    pub(super) is_impatient: bool,
    /// The upstreams in the object's order.
    pub(super) order: Vec<usize>,
    /// The next upstream of the region in that order, besides the first.
    pub(super) second_choice: Option<usize>,
    /// The upstream to which it goes.
    pub(super) upstream: usize,
    /// Upstreams that refused it.
    pub(super) refusals: u32,
    /// Where it stands.
    pub(super) stage: Stage,
    /// Whether a coordinator answered the latest question.
    pub(super) is_answered: bool,
}
