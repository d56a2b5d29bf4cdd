//! What goes wrong in the simulated fleet, and what comes of it.

/// What goes wrong, and how often.
#[derive(Clone, Copy, Debug)]
pub(super) struct SimulationOptions {
    /// Requests in all.
    pub(super) requests: usize,
    /// Requests a second.
    pub(super) rate_rps: u64,
    /// Instances.
    pub(super) instances: usize,
    /// A process dies about this often.
    pub(super) crash_period_ms: u64,
    /// A process is paused about this often.
    pub(super) pause_period_ms: u64,
    /// The longest pause.
    pub(super) pause_max_ms: u64,
    /// The share of exchanges that break before the upstream runs the request,
    /// and again after it did.
    pub(super) connection_loss_share: f64,
    /// The share that an upstream refuses.
    pub(super) rejected_share: f64,
    /// The share of answers lost on their way to the caller.
    pub(super) response_loss_share: f64,
}

impl Default for SimulationOptions {
    fn default() -> Self {
        Self {
            requests: 100_000,
            rate_rps: 1_000,
            instances: 10,
            crash_period_ms: 2_000,
            pause_period_ms: 15_000,
            pause_max_ms: 12_000,
            connection_loss_share: 0.005,
            rejected_share: 0.01,
            response_loss_share: 0.01,
        }
    }
}

/// What came of all requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tally {
    /// Requests whose callers got the answer.
    pub(super) done: u64,
    /// Requests that were given up without a run.
    pub(super) not_run: u64,
    /// Requests whose callers do not know.
    pub(super) unknown: u64,
    /// Those of them that no fault touched while they were under way.
    pub(super) unknown_without_fault: u64,
    /// Requests that a fault touched while they were under way.
    pub(super) affected: u64,
    /// Requests that were run more than once.
    pub(super) duplicated: u64,
    /// Times that not-run was said of a key that may have run.
    pub(super) false_not_run: u64,
    /// Copies that were sent to another instance.
    pub(super) redirects: u64,
    /// Writes to the store.
    pub(super) store_writes: u64,
    /// How long the run took, in simulated seconds.
    pub(super) seconds: f64,
}
