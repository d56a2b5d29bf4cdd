//! State of the simulation: events, attempts, keys, requests and instances.

use foxtide_core::outcome::Outcome;

/// A scheduled event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    /// A caller starts a request.
    Start { request: usize },
    /// An attempt arrives at an instance.
    Arrive { attempt: usize },
    /// The instance writes the first byte to the upstream.
    Write { attempt: usize },
    /// The upstream runs the request.
    UpstreamRuns { attempt: usize },
    /// The upstream's response arrives at the instance.
    UpstreamAnswers { attempt: usize },
    /// The caller stops waiting for the attempt.
    CallerTimeout { attempt: usize },
    /// The caller sends another attempt.
    Retry { request: usize },
    /// Periodic: policies renew leases, and processes crash or are paused.
    Tick,
    /// A process starts in place of a crashed one.
    Boot { instance: usize },
}

/// A caller's attempt to have a request run.
#[derive(Debug)]
pub(super) struct Attempt<C> {
    pub(super) request: usize,
    /// Index of its key in [`Request::keys`].
    pub(super) key: usize,
    /// The instance that has it.
    pub(super) instance: usize,
    /// Number of the process that accepted it.
    pub(super) process: u64,
    /// The right to run it, if granted.
    pub(super) claim: Option<C>,
    /// Whether, as far as the caller knows, it may still run.
    pub(super) unresolved: bool,
    /// Whether the caller still waits for its reply.
    pub(super) caller_waiting: bool,
}

/// The uses of one key.
#[derive(Debug, Default)]
pub(super) struct KeyState {
    /// Number of times that an upstream ran it.
    pub(super) runs: u32,
    /// Attempts written to an upstream that has not rejected them.
    pub(super) sent: u32,
}

/// A request that is to be run at most once.
#[derive(Debug)]
pub(super) struct Request<K> {
    /// The key of the next attempt; `None` if a new one is to be minted.
    pub(super) key: Option<K>,
    /// All keys used so far.
    pub(super) keys: Vec<KeyState>,
    /// Indices of its attempts.
    pub(super) attempts: Vec<usize>,
    /// Whether a fault affected it while in flight.
    pub(super) affected: bool,
    /// The outcome as known to the caller, once final.
    pub(super) result: Option<Outcome>,
}

#[derive(Debug)]
pub(super) struct Instance {
    /// Number of its current process.
    pub(super) process: u64,
    /// Whether its process runs, paused or not.
    pub(super) alive: bool,
    /// When `alive` last changed.
    pub(super) changed_us: u64,
    /// End of the current or last pause.
    pub(super) paused_until_us: u64,
    /// How far its clock is ahead of simulated time.
    pub(super) skew_us: u64,
}
