//! Finds out whether this instance reaches upstreams at all.

use crate::connect::connect;
use crate::journal::state_changes;
use crate::shared::Shared;
use event_listener::Event;
use foxtide_core::ids::UpstreamId;
use foxtide_core::reachability::{
    Reachability,
    ReachabilityChange, //
};
use foxtide_core::registry::Registration;
use foxtide_core::time::MonotonicTime;
use futures_util::future::{
    join_all,
    select_ok, //
};
use parking_lot::Mutex;
use smol::Timer;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

/// The upstreams that are probed at once in doubt. Where half of all upstreams have failed, one
/// sample in 256 reaches none.
const DOUBT_SAMPLE: usize = 8;

/// The pause between two samples in doubt.
const DOUBT_PAUSE: Duration = Duration::from_millis(50);

/// How long after a sample with a reached upstream no doubt arises, which bounds the rate of probes
/// while some upstreams fail.
const TRUSTED_TIME: Duration = Duration::from_secs(1);

/// The upstreams that are probed at once while the instance is cut off, and how often.
const CUT_OFF_SAMPLE: usize = 2;
const CUT_OFF_PERIOD: Duration = Duration::from_millis(500);

/// The upstreams that are asked whether another one has ended, or the path to it. A request that
/// ends its upstreams must have ended all of these to be taken for a cut.
const WITNESSES: usize = 8;

/// How long a request waits for the end of a doubt: two samples of the most distant upstreams.
const VERDICT_TIMEOUT: Duration = Duration::from_millis(900);

/// Whether this instance reaches upstreams.
#[derive(Debug, Default)]
pub(crate) struct Reach {
    reachability: Mutex<Reachability>,
    /// Until when failed connections raise no doubt.
    trusted_until: Mutex<MonotonicTime>,
    /// Since when the instance has been cut off.
    cut_off_since: Mutex<Option<MonotonicTime>>,
    changed: Event,
}

impl Reach {
    /// Tells whether the instance reaches no upstream.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.reachability.lock().is_cut_off()
    }

    /// Records a connection of a request to an upstream.
    pub(crate) fn record_connected(&self) {
        let mut reachability = self.reachability.lock();
        let was_doubted = reachability.is_doubted();
        reachability.record_connected();
        drop(reachability);
        if was_doubted {
            self.changed.notify(usize::MAX);
        }
    }

    /// Records a failed connection of a request to an upstream.
    pub(crate) fn record_unreachable(&self, upstream: &UpstreamId, now: MonotonicTime) {
        let is_trusted = now < *self.trusted_until.lock();
        if !is_trusted && self.reachability.lock().record_unreachable(upstream) {
            self.changed.notify(usize::MAX);
        }
    }

    /// Waits for the end of a doubt, for a short time.
    pub(crate) async fn verdict(&self) {
        let concluded = self.until(|reachability| !reachability.is_doubted());
        let late = async {
            Timer::after(VERDICT_TIMEOUT).await;
        };
        futures_lite::future::or(concluded, late).await;
    }

    async fn until(&self, condition: impl Fn(&Reachability) -> bool) {
        loop {
            let changed = self.changed.listen();
            if condition(&self.reachability.lock()) {
                return;
            }
            changed.await;
        }
    }

    fn record_sample(
        &self,
        reached: usize,
        probed: usize,
        now: MonotonicTime,
    ) -> Option<ReachabilityChange> {
        if reached > 0 {
            *self.trusted_until.lock() = now + TRUSTED_TIME;
        }
        let change = self.reachability.lock().record_sample(reached, probed);
        self.changed.notify(usize::MAX);
        change
    }
}

/// Probes samples of the upstreams while the instance may be cut off.
pub(crate) async fn watch_reach<D>(shared: Arc<Shared<D>>) {
    loop {
        let reach = &shared.reach;
        reach
            .until(|one| one.is_doubted() || one.is_cut_off())
            .await;
        let count = if reach.is_cut_off() {
            CUT_OFF_SAMPLE
        } else {
            DOUBT_SAMPLE
        };
        let sample = shared.state.lock().sample_upstreams(count);
        let reached = probe(&shared, &sample).await;
        let now = shared.clock.now();
        match reach.record_sample(reached, sample.len(), now) {
            Some(ReachabilityChange::CutOff) => {
                *reach.cut_off_since.lock() = Some(now);
                // Idle connections may be dead without a sign.
                shared.pool.close_all();
                state_changes::upstreams_cut_off(sample.len());
            }
            Some(ReachabilityChange::Restored) => {
                let since = reach.cut_off_since.lock().take();
                let time = since.map(|since| now - since);
                state_changes::upstreams_reached(time.unwrap_or_default());
            }
            None => {}
        }
        Timer::after(if reach.is_cut_off() {
            CUT_OFF_PERIOD.mul_f64(0.9 + 0.2 * fastrand::f64())
        } else {
            DOUBT_PAUSE
        })
        .await;
    }
}

impl<D> Shared<D> {
    /// Tells whether this instance can connect to another upstream, so that the failure of one is
    /// its own. Returns with the first connection.
    ///
    /// Where no other upstream is registered, nothing speaks against the path.
    pub(crate) async fn reaches_any_other(&self, failed: &Registration) -> bool {
        let others = self.state.lock().sample_others(failed, WITNESSES);
        if others.is_empty() {
            return true;
        }
        let witnesses = others.iter().map(|registration| {
            let limit = Instant::now() + self.connect_timeout(registration);
            Box::pin(connect(registration.address, None, limit))
        });
        let is_reached = select_ok(witnesses).await.is_ok();
        if is_reached {
            self.reach.record_connected();
        }
        is_reached
    }
}

/// Connects to each upstream of a sample; returns how many were reached.
async fn probe<D>(shared: &Shared<D>, sample: &[Arc<Registration>]) -> usize {
    metrics::counter!("foxtide_upstream_probes_total").increment(sample.len() as u64);
    let probes = sample.iter().map(|registration| {
        let limit = Instant::now() + shared.connect_timeout(registration);
        connect(registration.address, None, limit)
    });
    let connected = join_all(probes).await;
    connected.iter().filter(|one| one.is_ok()).count()
}
