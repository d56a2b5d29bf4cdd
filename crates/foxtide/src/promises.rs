//! Samples the traffic once a second and checks the promises.
//!
//! The only lock guards the monitors; it is held for one sample or one page,
//! and no other lock is taken under it.

use crate::tables::Tables;
use foxtide_core::events::{
    EventCode,
    EventFields, //
};
use foxtide_core::ids::OrganisationId;
use foxtide_core::organisation::Organisation;
use foxtide_core::promises::{
    Promise,
    PromiseMonitor,
    RegionSample,
    Sample,
    ServiceSample, //
};
use foxtide_core::steering::Steering;
use foxtide_core::time::MonotonicTime;
use foxtide_entry::{
    Clock,
    SentCount,
    SystemClock,
    TrafficTables, //
};
use foxtide_events::Recorder;
use parking_lot::Mutex;
use serde::Serialize;
use smol::Timer;
use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::sync::Arc;
use std::time::Duration;

const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// The promise monitors of all organisations.
#[derive(Clone, Debug, Default)]
pub(crate) struct Promises {
    monitors: Arc<Mutex<BTreeMap<OrganisationId, PromiseMonitor>>>,
}

/// A promise as shown on the admin page.
#[derive(Debug, Serialize)]
pub(crate) struct PromiseRow {
    organisation: OrganisationId,
    #[serde(flatten)]
    promise: Promise,
}

/// Samples the traffic of all organisations.
#[derive(Debug)]
pub(crate) struct PromiseSampler {
    pub(crate) promises: Promises,
    pub(crate) tables: Arc<Tables>,
    pub(crate) traffic: Arc<TrafficTables>,
    pub(crate) recorder: Recorder,
    pub(crate) clock: SystemClock,
}

impl Promises {
    /// Returns the promises to one organisation, or to all if `None`.
    pub(crate) fn rows(&self, organisation: Option<&OrganisationId>) -> Vec<PromiseRow> {
        let monitors = self.monitors.lock();
        let wanted = monitors
            .iter()
            .filter(|(id, _)| organisation.is_none_or(|wanted| wanted == *id));
        let rows = wanted.flat_map(|(id, monitor)| {
            let row = |promise| PromiseRow {
                organisation: id.clone(),
                promise,
            };
            monitor.promises().into_iter().map(row)
        });
        rows.collect()
    }

    fn add_sample(&self, organisation: &Organisation, sample: Sample) -> Vec<Promise> {
        let mut monitors = self.monitors.lock();
        let monitor = monitors
            .entry(organisation.organisation.clone())
            .or_default();
        monitor.add(organisation, sample);
        monitor.promises()
    }
}

impl PromiseSampler {
    /// Runs until the process ends.
    pub(crate) async fn run(self) {
        let mut broken = BTreeSet::new();
        loop {
            for (id, organisation) in self.tables.organisations().iter() {
                if let Some(sample) = self.sample(id, self.clock.now()) {
                    let promises = self.promises.add_sample(organisation, sample);
                    self.record_changes(id, &promises, &mut broken);
                }
            }
            Timer::after(SAMPLE_INTERVAL).await;
        }
    }

    fn sample(&self, organisation: &OrganisationId, now: MonotonicTime) -> Option<Sample> {
        let sent = self.traffic.sent(organisation);
        let measure = |steering: &Steering| measure(steering, &sent, now);
        self.traffic.inspect(organisation, measure)
    }

    /// Records each promise that becomes broken or holds again.
    fn record_changes(
        &self,
        id: &OrganisationId,
        promises: &[Promise],
        broken: &mut BTreeSet<String>,
    ) {
        for promise in promises {
            let name = format!(
                "{id} {} {:?} {:?}",
                promise.promise, promise.service, promise.region
            );
            let code = match (promise.held, broken.contains(&name)) {
                (false, false) => EventCode::PromiseBroken,
                (true, true) => EventCode::PromiseKept,
                _ => continue,
            };
            if promise.held {
                broken.remove(&name);
            } else {
                broken.insert(name);
            }
            self.recorder.record(code, fields(id, promise));
        }
    }
}

fn fields(organisation: &OrganisationId, promise: &Promise) -> EventFields {
    EventFields {
        organisation: Some(organisation.clone()),
        service: promise.service.clone(),
        region: promise.region.clone(),
        ..EventFields::detail(format!(
            "{} limit={:.4}{} worst_of_limit={:.3}",
            promise.promise, promise.limit, promise.unit, promise.worst_of_limit
        ))
    }
}

fn measure(steering: &Steering, sent: &[SentCount], now: MonotonicTime) -> Sample {
    let organisation = steering.organisation();
    let mut sample = Sample {
        taken_at: now,
        ..Sample::default()
    };
    for service in &organisation.services {
        let row = steering.row(&service.service).unwrap_or_default();
        let entry = ServiceSample {
            row,
            rejected: steering.rejected(&service.service),
            ..ServiceSample::default()
        };
        sample.services.insert(service.service.clone(), entry);
    }
    for region in &organisation.regions {
        let entry = RegionSample {
            allowed_rps: steering.usable_rate(&region.region).unwrap_or_default(),
            sent: 0,
        };
        sample.regions.insert(region.region.clone(), entry);
    }
    for count in sent {
        if let Some(service) = sample.services.get_mut(&count.service) {
            service.sent_planned += count.planned;
            service.sent_spilled += count.spilled;
        }
        if let Some(region) = sample.regions.get_mut(&count.region) {
            region.sent += count.planned + count.spilled;
        }
    }
    sample
}
