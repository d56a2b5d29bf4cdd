//! One simulated instance.

use super::decider::Decider;
use foxtide_core::ids::RegionId;
use foxtide_core::organisation::Organisation;
use foxtide_core::steering::{
    FleetView,
    InstanceReport,
    ReceivedReport,
    ViewOptions, //
};
use foxtide_core::time::MonotonicTime;
use foxtide_core::units::Share;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The time for which the platform's list contains an instance that has stopped.
const LIST_LAG_MS: u64 = 10_000;

/// The time for which an unlisted instance's report is kept; longer than the claim hold.
const REPORT_HOLD_MS: u64 = 20_000;

/// The newest report received from a peer.
pub(super) struct PeerReport {
    pub(super) made_ms: u64,
    pub(super) report: Arc<InstanceReport>,
}

/// A request to be admitted.
pub(super) struct PendingRequest {
    pub(super) service: usize,
    pub(super) origin: usize,
    pub(super) draw: f64,
    pub(super) waited: Duration,
}

/// An instance with its clocks, received reports and pending updates.
pub(super) struct Node<D> {
    pub(super) region: usize,
    pub(super) decider: D,
    /// When its process started, the origin of its monotonic clock.
    pub(super) started_ms: u64,
    /// The skew of its wall clock.
    pub(super) skew_ms: u64,
    pub(super) up: bool,
    pub(super) stopped_ms: u64,
    pub(super) paused_until_ms: u64,
    pub(super) demand_weight: f64,
    pub(super) known: BTreeMap<usize, PeerReport>,
    pub(super) pending_health: Vec<(u64, usize, Share)>,
    pub(super) pending_configurations: Vec<(u64, Arc<Organisation>)>,
}

impl<D: Decider> Node<D> {
    /// Creates an instance that starts with the scenario.
    pub(super) fn new(region: usize, decider: D, skew_ms: u64, demand_weight: f64) -> Self {
        Self {
            region,
            decider,
            started_ms: 0,
            skew_ms,
            up: true,
            stopped_ms: 0,
            paused_until_ms: 0,
            demand_weight,
            known: BTreeMap::new(),
            pending_health: Vec::new(),
            pending_configurations: Vec::new(),
        }
    }

    pub(super) fn stop(&mut self, now_ms: u64) {
        if self.up {
            self.up = false;
            self.stopped_ms = now_ms;
        }
    }

    /// Returns whether the platform's list contains the instance.
    pub(super) fn is_listed(&self, now_ms: u64) -> bool {
        self.up || now_ms - self.stopped_ms < LIST_LAG_MS
    }

    pub(super) fn runs(&self, now_ms: u64) -> bool {
        self.up && now_ms >= self.paused_until_ms
    }

    /// Converts scenario time to the instance's monotonic clock.
    pub(super) fn now(&self, at_ms: u64) -> MonotonicTime {
        self.now_us(at_ms * 1_000)
    }

    pub(super) fn now_us(&self, at_us: u64) -> MonotonicTime {
        MonotonicTime::from_us(at_us - self.started_ms * 1_000)
    }

    /// Applies pending health changes and the newest pending configuration.
    pub(super) fn apply_pending(&mut self, regions: &[RegionId], now_ms: u64) {
        let now = self.now(now_ms);
        let due = self.pending_health.iter().filter(|seen| seen.0 <= now_ms);
        for (_, region_index, healthy) in due {
            self.decider.set_health(&regions[*region_index], *healthy);
        }
        self.pending_health.retain(|seen| seen.0 > now_ms);
        let mut due = self
            .pending_configurations
            .iter()
            .filter(|due| due.0 <= now_ms);
        if let Some((_, organisation)) = due.next_back() {
            self.decider.configure(organisation, now);
        }
        self.pending_configurations.retain(|due| due.0 > now_ms);
    }

    pub(super) fn observe(
        &mut self,
        regions: &[RegionId],
        listed: &[(usize, bool)],
        now_ms: u64,
        platform_list: bool,
    ) {
        let now = self.now(now_ms);
        let held = |made_ms| now_ms - made_ms < REPORT_HOLD_MS;
        self.known
            .retain(|from, known| (platform_list && listed[*from].1) || held(known.made_ms));
        let reports = self.known.iter().map(|(from, known)| ReceivedReport {
            origin: &regions[listed[*from].0],
            made_at: MonotonicTime::from_ms(known.made_ms - self.started_ms),
            report: &known.report,
        });
        let mut view = FleetView::from_reports(reports, ViewOptions::default(), now);
        let seen = if platform_list { regions } else { &[] };
        for (region_index, region) in seen.iter().enumerate() {
            let here = listed
                .iter()
                .filter(|listed| **listed == (region_index, true));
            view.add_listed(region, here.count() as u32);
        }
        self.decider.observe(&view, now);
    }
}
