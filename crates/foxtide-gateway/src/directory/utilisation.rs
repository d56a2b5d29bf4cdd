//! Measures how much of its machine an instance uses.

use foxtide_core::units::Share;
use parking_lot::Mutex;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::time::{
    Duration,
    Instant, //
};

/// The time over which the use of the link is measured: several responses of the largest size.
const WINDOW: Duration = Duration::from_secs(1);

/// The mean delay of timers at which the processor counts as fully used. A request waits for the
/// processor some ten times, so that this delay takes a quarter of a second of it.
const FULL_DELAY: Duration = Duration::from_millis(25);

/// The weight of the newest delay in the mean.
const NEWEST_WEIGHT: f64 = 0.3;

const BYTES_PER_S_PER_MBPS: f64 = 125_000.0;

/// The use of the link in the last whole window.
#[derive(Debug)]
struct LinkUse {
    began_at: Instant,
    sent_bytes: u64,
    utilisation: f64,
}

/// Measures the utilisation of an instance's link and processor.
#[derive(Debug)]
pub(crate) struct UtilisationMeter {
    /// The width of the link in megabits a second; 0 if unknown.
    link_mbps: u32,
    sent_bytes: AtomicU64,
    link: Mutex<LinkUse>,
    /// The moving mean of the delay of timers in seconds, which tells how long work waits for the
    /// processor.
    delay_s: Mutex<f64>,
}

impl UtilisationMeter {
    /// Returns a meter; a link of unknown width (0) does not count.
    pub(crate) fn new(link_mbps: u32) -> Self {
        Self {
            link_mbps,
            sent_bytes: AtomicU64::new(0),
            link: Mutex::new(LinkUse {
                began_at: Instant::now(),
                sent_bytes: 0,
                utilisation: 0.0,
            }),
            delay_s: Mutex::default(),
        }
    }

    /// Counts bytes that are sent to callers.
    pub(crate) fn count_sent(&self, size_bytes: usize) {
        self.sent_bytes
            .fetch_add(size_bytes as u64, Ordering::Relaxed);
    }

    /// Records how late a timer fired.
    pub(crate) fn record_delay(&self, delay: Duration) {
        let mut mean_s = self.delay_s.lock();
        *mean_s += NEWEST_WEIGHT * (delay.as_secs_f64() - *mean_s);
    }

    /// Returns the utilisation of the most used resource.
    pub(crate) fn utilisation(&self) -> Share {
        let of_processor = *self.delay_s.lock() / FULL_DELAY.as_secs_f64();
        let utilisation = Share::clamped(of_processor.max(self.link_utilisation()));
        metrics::gauge!("foxtide_utilisation").set(utilisation.get());
        utilisation
    }

    fn link_utilisation(&self) -> f64 {
        let mut link = self.link.lock();
        let elapsed = link.began_at.elapsed();
        if self.link_mbps == 0 || elapsed < WINDOW {
            return link.utilisation;
        }
        let sent_bytes = self.sent_bytes.load(Ordering::Relaxed);
        let elapsed_s = elapsed.as_secs_f64();
        let limit_bytes = f64::from(self.link_mbps) * BYTES_PER_S_PER_MBPS * elapsed_s;
        *link = LinkUse {
            began_at: Instant::now(),
            sent_bytes,
            utilisation: (sent_bytes - link.sent_bytes) as f64 / limit_bytes,
        };
        link.utilisation
    }
}
