//! Measures the demand of one instance's callers.

use super::{
    BusySlots,
    KindHash,
    RegionHash,
    ServiceDemand, //
};
use crate::ids::{
    RegionId,
    ServiceId, //
};
use crate::routing::RequestKind;
use crate::time::MonotonicTime;
use std::collections::{
    BTreeMap,
    HashMap, //
};
use std::time::Duration;

/// The seconds over which requests are counted. Shorter, the few requests of one instance vary
/// more than the demand.
const WINDOW_S: u64 = 10;

/// The counted seconds and the current one, which is not complete.
const BUCKETS: usize = WINDOW_S as usize + 1;

/// The least weight of the newest service time in the mean. A first access to an object takes
/// three times as long as a repeated one, so fewer samples than 20 vary too much.
const SAMPLE_WEIGHT_MIN: f64 = 0.05;

/// The seconds to measure before the first report. The first requests are first accesses to their
/// objects, which take three times as long.
const REPORT_AFTER_S: u64 = 5;

/// How long a kind without requests is kept.
const UNUSED_TTL: Duration = Duration::from_secs(60);

/// Requests counted by second.
#[derive(Clone, Debug, Default)]
struct RequestWindow {
    /// The count of second `s` is at `s % BUCKETS`.
    counts: [u32; BUCKETS],
    newest_s: u64,
}

impl RequestWindow {
    fn record(&mut self, now_s: u64) {
        self.advance(now_s);
        let bucket = &mut self.counts[(now_s % BUCKETS as u64) as usize];
        *bucket = bucket.saturating_add(1);
    }

    fn advance(&mut self, now_s: u64) {
        if now_s.saturating_sub(self.newest_s) >= BUCKETS as u64 {
            self.counts = [0; BUCKETS];
        } else {
            for second in self.newest_s + 1..=now_s {
                self.counts[(second % BUCKETS as u64) as usize] = 0;
            }
        }
        self.newest_s = self.newest_s.max(now_s);
    }

    /// Returns the mean rate over the whole seconds before `now_s`, at most `measured_s` of them.
    fn rate_rps(&mut self, now_s: u64, measured_s: u64) -> f64 {
        self.advance(now_s);
        let seconds = measured_s.min(WINDOW_S);
        if seconds == 0 {
            return 0.0;
        }
        let counted = (1..=seconds)
            .filter_map(|ago_s| now_s.checked_sub(ago_s))
            .map(|second| self.counts[(second % BUCKETS as u64) as usize]);
        counted.map(f64::from).sum::<f64>() / seconds as f64
    }
}

/// The mean service time of a kind.
#[derive(Clone, Copy, Debug, Default)]
struct MeanServiceTime {
    mean_s: f64,
    samples: u32,
    is_own_region: bool,
}

impl MeanServiceTime {
    /// Records a time. Times of other regions include the way there, so they count only until
    /// there is one of the own region.
    fn record(&mut self, time: Duration, is_own_region: bool) {
        if self.is_own_region && !is_own_region {
            return;
        }
        if is_own_region && !self.is_own_region {
            *self = Self {
                is_own_region,
                ..Self::default()
            };
        }
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(SAMPLE_WEIGHT_MIN);
        self.mean_s += weight * (time.as_secs_f64() - self.mean_s);
    }
}

#[derive(Clone, Debug, Default)]
struct KindMeter {
    /// The requests that any region may serve.
    unrestricted: RequestWindow,
    /// The requests bound to regions, by these.
    homed: BTreeMap<Vec<RegionId>, RequestWindow>,
    service_time: MeanServiceTime,
    used_at: MonotonicTime,
}

/// Measures the demand of one instance's callers by service and kind.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    kinds: HashMap<ServiceId, HashMap<RequestKind, KindMeter>>,
    /// When measuring began.
    since: Option<MonotonicTime>,
}

impl DemandMeter {
    /// Counts a caller's request; `homes` are the only regions that may serve it, empty for all.
    pub fn record_request(
        &mut self,
        service: &ServiceId,
        kind: RequestKind,
        homes: &[RegionId],
        now: MonotonicTime,
    ) {
        self.since.get_or_insert(now);
        let meter = self.meter(service, kind);
        meter.used_at = now;
        if homes.is_empty() {
            meter.unrestricted.record(whole_seconds(now));
            return;
        }
        if !meter.homed.contains_key(homes) {
            meter.homed.insert(homes.to_vec(), RequestWindow::default());
        }
        if let Some(window) = meter.homed.get_mut(homes) {
            window.record(whole_seconds(now));
        }
    }

    /// Records how long an upstream took for a request.
    pub fn record_service_time(
        &mut self,
        service: &ServiceId,
        kind: RequestKind,
        time: Duration,
        is_own_region: bool,
    ) {
        let meter = self.meter(service, kind);
        meter.service_time.record(time, is_own_region);
    }

    /// Tells whether the demand has been measured for long enough to be reported.
    pub fn is_measured(&mut self, now: MonotonicTime) -> bool {
        self.since.get_or_insert(now);
        self.measured_s(now) >= REPORT_AFTER_S
    }

    /// Returns the demand for a service, whose slots in each region are `slots`.
    pub fn demand(
        &mut self,
        service: &ServiceId,
        slots: &BTreeMap<RegionId, u32>,
        now: MonotonicTime,
    ) -> ServiceDemand {
        let mut demand = ServiceDemand::default();
        let measured = self.measured_s(now);
        let now_s = whole_seconds(now);
        for (kind, meter) in self.kinds.get_mut(service).into_iter().flatten() {
            let busy = |rate_rps: f64| BusySlots::clamped(rate_rps * meter.service_time.mean_s);
            let slots_of_kind = busy(meter.unrestricted.rate_rps(now_s, measured));
            let sum = demand.kinds.entry(KindHash::of(*kind)).or_default();
            *sum = *sum + slots_of_kind;
            for (homes, window) in &mut meter.homed {
                let bound = busy(window.rate_rps(now_s, measured));
                add_homed(&mut demand, homes, bound, slots);
            }
        }
        demand
    }

    /// Drops kinds without recent requests.
    pub fn prune(&mut self, now: MonotonicTime) {
        for kinds in self.kinds.values_mut() {
            kinds.retain(|_, meter| now - meter.used_at < UNUSED_TTL);
        }
        self.kinds.retain(|_, kinds| !kinds.is_empty());
    }

    /// Returns the whole seconds for which requests have been counted.
    fn measured_s(&self, now: MonotonicTime) -> u64 {
        self.since.map_or(0, |since| {
            whole_seconds(now).saturating_sub(whole_seconds(since) + 1)
        })
    }

    fn meter(&mut self, service: &ServiceId, kind: RequestKind) -> &mut KindMeter {
        if !self.kinds.contains_key(service) {
            self.kinds.insert(service.clone(), HashMap::new());
        }
        let kinds = self.kinds.get_mut(service);
        kinds.expect("it was inserted").entry(kind).or_default()
    }
}

/// Divides demand among its homes in proportion to their slots.
fn add_homed(
    demand: &mut ServiceDemand,
    homes: &[RegionId],
    bound: BusySlots,
    slots: &BTreeMap<RegionId, u32>,
) {
    let slots_of = |region: &RegionId| slots.get(region).copied().map_or(0.0, f64::from);
    let total: f64 = homes.iter().map(slots_of).sum();
    if total <= 0.0 {
        return;
    }
    for home in homes {
        let part = BusySlots::clamped(bound.get() * slots_of(home) / total);
        let sum = demand.homed.entry(RegionHash::of(home)).or_default();
        *sum = *sum + part;
    }
}

fn whole_seconds(time: MonotonicTime) -> u64 {
    time.as_ms() / 1_000
}
