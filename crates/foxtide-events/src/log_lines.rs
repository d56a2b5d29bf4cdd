//! Structured log lines of events, and rate limits for lines about requests.

use foxtide_core::events::{
    EventCode,
    Level, //
};
use foxtide_core::time::MonotonicTime;

/// Writes a numbered event with fields as one log line.
///
/// Fields are written as `key = value`, with `:%` after the key for values that
/// implement `Display` and `:?` for those that implement `Debug`.
#[macro_export]
macro_rules! log_event {
    ($code:expr, $($key:ident $(:$capture:tt)? = $value:expr),* $(,)?) => {{
        let code: $crate::EventCode = $code;
        let number = code.number();
        $crate::log::log!(
            $crate::log_level(code),
            number $(, $key $(:$capture)? = $value)*;
            "{}", code.name()
        );
    }};
}

/// Returns the level at which an event is logged.
pub fn log_level(code: EventCode) -> log::Level {
    match code.level() {
        Level::Error => log::Level::Error,
        Level::Warn => log::Level::Warn,
        Level::Info => log::Level::Info,
        Level::Debug => log::Level::Debug,
    }
}

/// Sustained rate and burst of lines about successful requests. A line takes about 3 us to write,
/// so that these take 0.02 % of a core.
const ANSWERED_LINES_PER_S: f64 = 60.0;
const ANSWERED_LINES_BURST: f64 = 30.0;

/// Sustained rate and burst of lines about failed requests. They are what an engineer looks for and
/// come in bursts: 40 callers whose requests fail together make 120 lines.
const FAILED_LINES_PER_S: f64 = 300.0;
const FAILED_LINES_BURST: f64 = 600.0;

/// The share of the burst that is reserved for final results; steps cannot use it.
const RESULTS_ONLY_SHARE: f64 = 0.5;

/// The subject of a log line about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineKind {
    /// The request succeeded.
    Answered,
    /// The request failed.
    Failed,
    /// A step of the request, such as a failed attempt.
    Step,
}

/// Numbers of suppressed log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SuppressedLines {
    /// Lines about successful requests.
    pub answered: u64,
    /// Lines about failed requests and steps.
    pub failed: u64,
}

/// Limits the rate of log lines about requests and counts the suppressed ones.
#[derive(Clone, Debug)]
pub struct LogRateLimiter {
    answered: TokenBucket,
    failed: TokenBucket,
    suppressed: SuppressedLines,
}

impl LogRateLimiter {
    /// Returns a limiter with full token buckets.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            answered: TokenBucket::new(ANSWERED_LINES_PER_S, ANSWERED_LINES_BURST, now),
            failed: TokenBucket::new(FAILED_LINES_PER_S, FAILED_LINES_BURST, now),
            suppressed: SuppressedLines::default(),
        }
    }

    /// Returns whether a line may be written; if not, counts it as suppressed.
    pub fn try_take(&mut self, kind: LineKind, now: MonotonicTime) -> bool {
        let suppressed = match kind {
            LineKind::Answered => &mut self.suppressed.answered,
            LineKind::Failed | LineKind::Step => &mut self.suppressed.failed,
        };
        let is_taken = match kind {
            LineKind::Answered => self.answered.try_take(0.0, now),
            LineKind::Failed => self.failed.try_take(0.0, now),
            LineKind::Step => {
                let reserved = FAILED_LINES_BURST * RESULTS_ONLY_SHARE;
                self.failed.try_take(reserved, now)
            }
        };
        *suppressed += u64::from(!is_taken);
        is_taken
    }

    /// Returns the numbers of lines suppressed since the last call.
    pub fn take_suppressed(&mut self) -> SuppressedLines {
        std::mem::take(&mut self.suppressed)
    }
}

/// A token bucket, initially full.
#[derive(Clone, Debug)]
struct TokenBucket {
    rate_per_s: f64,
    capacity: f64,
    tokens: f64,
    refilled_at: MonotonicTime,
}

impl TokenBucket {
    fn new(rate_per_s: f64, capacity: f64, now: MonotonicTime) -> Self {
        Self {
            rate_per_s,
            capacity,
            tokens: capacity,
            refilled_at: now,
        }
    }

    /// Takes one token if at least `reserved` remain afterwards.
    fn try_take(&mut self, reserved: f64, now: MonotonicTime) -> bool {
        let passed_s = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + passed_s * self.rate_per_s).min(self.capacity);
        let is_available = self.tokens >= reserved + 1.0;
        if is_available {
            self.tokens -= 1.0;
        }
        is_available
    }
}
