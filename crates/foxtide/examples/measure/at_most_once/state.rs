//! The parts of the simulated fleet.

use foxtide_core::outcome::Outcome;

/// What happens next, to whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    /// A caller has a new request.
    Start { request: usize },
    /// An attempt of a request arrives at an instance.
    Arrive { attempt: usize },
    /// Its first byte goes to the upstream.
    Write { attempt: usize },
    /// The upstream runs it.
    UpstreamRuns { attempt: usize },
    /// The upstream's answer arrives.
    UpstreamAnswers { attempt: usize },
    /// The caller waits for the attempt no longer.
    CallerTimeout { attempt: usize },
    /// The caller sends another attempt.
    Retry { request: usize },
    /// Time passes: leases are renewed, processes die or are paused.
    Tick,
    /// A process starts in a dead one's place.
    Boot { instance: usize },
}

/// One attempt of a request under way.
#[derive(Debug)]
pub(super) struct Attempt<C> {
    /// The request.
    pub(super) request: usize,
    /// Which of the request's keys it carries.
    pub(super) key: usize,
    /// Where it is.
    pub(super) instance: usize,
    /// The process there that took it.
    pub(super) process: u64,
    /// The right to run it, once given.
    pub(super) claim: Option<C>,
    /// Whether it may still run, for all that the caller knows.
    pub(super) unresolved: bool,
    /// Whether the caller still listens for its answer.
    pub(super) caller_waiting: bool,
}

/// What became of one key.
#[derive(Debug, Default)]
pub(super) struct KeyState {
    /// How often an upstream ran it.
    pub(super) runs: u32,
    /// Copies written to an upstream that has not refused them.
    pub(super) sent: u32,
}

/// What a caller wants to be run once.
#[derive(Debug)]
pub(super) struct Request<K> {
    /// The key that the next attempt carries; none where another is to be minted.
    pub(super) key: Option<K>,
    /// The states of all keys that the caller used for it.
    pub(super) keys: Vec<KeyState>,
    /// Its attempts.
    pub(super) attempts: Vec<usize>,
    /// Whether a fault hit it while it was under way.
    pub(super) affected: bool,
    /// What the caller knows in the end.
    pub(super) result: Option<Outcome>,
}

/// One instance.
#[derive(Debug)]
pub(super) struct Instance {
    /// The number of its process.
    pub(super) process: u64,
    /// Whether it runs.
    pub(super) alive: bool,
    /// When that last changed.
    pub(super) changed_us: u64,
    /// Until when its process is paused.
    pub(super) paused_until_us: u64,
    /// How far its clock is ahead.
    pub(super) skew_us: u64,
}
