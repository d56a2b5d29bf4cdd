//! Calls to the store as the fleet grows, and when the store returns after an
//! outage, against instances that each keep a watch and retry at a fixed
//! period.

use crate::report::{
    Limit,
    Report, //
};
use foxtide_config::change::ORGANISATION_PREFIX;
use foxtide_config::{
    BudgetOptions,
    BudgetedStore,
    ConfigurationWatch,
    Fleet,
    HttpStore,
    HttpStoreOptions,
    StoreBudget,
    WatchOptions, //
};
use foxtide_core::store::{
    Store,
    StoreIndex, //
};
use foxtide_core::time::MonotonicTime;
use foxtide_testing::{
    Availability,
    CallKind,
    StoreOptions,
    StoreServer, //
};
use metrics_exporter_prometheus::{
    PrometheusBuilder,
    PrometheusHandle, //
};
use smol::channel::unbounded;
use smol::{
    Task,
    Timer, //
};
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

/// The sizes of fleets.
const FLEETS: [u32; 3] = [10, 40, 160];

/// The availability zones of the fleet, and the watching instances of each.
const ZONES: u32 = 6;
const WATCHERS_PER_ZONE: u32 = 2;

/// How long the calls of a fleet at rest are counted.
const COUNTED: Duration = Duration::from_secs(6);

/// How long a watch waits; shorter than in operation so that the measurement
/// sees several rounds. The calls a second of a watch are in inverse
/// proportion.
const WAIT: Duration = Duration::from_secs(2);

/// How often the measured organisation changes.
const CHANGE_PERIOD: Duration = Duration::from_millis(500);

/// How long the store is away, and the fixed retry period of the baseline.
const OUTAGE: Duration = Duration::from_secs(6);
const FIXED_RETRY: Duration = Duration::from_secs(1);

/// How long calls are sampled after the store's return, in which span the
/// busiest is looked for.
const RETURN_COUNTED: Duration = Duration::from_secs(16);
const SAMPLE: Duration = Duration::from_millis(50);
const BUSIEST_SPAN_SAMPLES: usize = 4;

/// The organisations and the size of each one's document where the bytes of a
/// change are counted, and the number of changes.
const ORGANISATIONS: u32 = 20;
const DOCUMENT_BYTES: usize = 10_000;
const CHANGES: u32 = 20;

/// Changes of configuration a day at the target size.
const CHANGES_PER_DAY: f64 = 2_800.0;

/// How the instances of a fleet behave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    /// Every instance watches and retries at a fixed period.
    FixedRetry,
    /// Every instance watches, with budget and jittered back-off.
    AllWatch,
    /// The chosen instances watch, with budget and jittered back-off.
    Chosen,
}

/// Runs all measurements.
pub(crate) fn run(report: &mut Report) {
    smol::block_on(async {
        growth(report).await;
        outage(report).await;
        bytes(report).await;
    });
}

async fn growth(report: &mut Report) {
    let mut chosen = Vec::new();
    let mut baseline = Vec::new();
    for instances in FLEETS {
        chosen.push(calls_at_rest(instances, Behaviour::Chosen).await);
        baseline.push(calls_at_rest(instances, Behaviour::FixedRetry).await);
    }
    for (index, instances) in FLEETS.iter().enumerate() {
        let name = format!("store.calls.{instances}");
        report.figure(&name, chosen[index], "calls/s", Limit::None);
        let name = format!("store.calls.{instances}.baseline");
        report.figure(&name, baseline[index], "calls/s", Limit::None);
    }
    // From the first fleet that has all its watchers on.
    let more = f64::from(FLEETS[2] - FLEETS[1]);
    let slope = (chosen[2] - chosen[1]) / more;
    let baseline_slope = (baseline[2] - baseline[1]) / more;
    report.figure(
        "store.calls.slope",
        slope,
        "calls/s/inst",
        Limit::AtMost(0.01),
    );
    report.figure(
        "store.calls.slope.baseline",
        baseline_slope,
        "calls/s/inst",
        Limit::None,
    );
}

/// Returns the calls a second of a fleet whose organisation changes steadily.
async fn calls_at_rest(instances: u32, behaviour: Behaviour) -> f64 {
    let server = start_server().await;
    let _fleet = start_fleet(&server, instances, behaviour);
    Timer::after(WAIT).await;
    let before = reads(&server);
    let started = Instant::now();
    let mut round = 0_u32;
    while started.elapsed() < COUNTED {
        server.set_value(&format!("{ORGANISATION_PREFIX}measured"), round.to_string());
        round += 1;
        Timer::after(CHANGE_PERIOD).await;
    }
    (reads(&server) - before) as f64 / started.elapsed().as_secs_f64()
}

async fn outage(report: &mut Report) {
    let largest = FLEETS[2];
    let fixed = busiest_on_return(largest, Behaviour::FixedRetry).await;
    let spread = busiest_on_return(largest, Behaviour::AllWatch).await;
    let chosen = busiest_on_return(largest, Behaviour::Chosen).await;
    report.figure(
        "store.return.peak.baseline",
        fixed,
        "calls/200ms",
        Limit::None,
    );
    report.figure(
        "store.return.peak.all_watch",
        spread,
        "calls/200ms",
        Limit::AtMost(fixed / 2.0),
    );
    report.figure(
        "store.return.peak",
        chosen,
        "calls/200ms",
        Limit::AtMost(fixed / 10.0),
    );
    report.figure(
        "store.return.peak.ratio",
        chosen / fixed,
        "of baseline",
        Limit::AtMost(0.1),
    );
}

/// Returns the most calls in a short span after the store has come back.
async fn busiest_on_return(instances: u32, behaviour: Behaviour) -> f64 {
    let server = start_server().await;
    let _fleet = start_fleet(&server, instances, behaviour);
    Timer::after(WAIT).await;
    server.set_availability(Availability::Refusing).await;
    server.close_connections();
    Timer::after(OUTAGE).await;
    server.set_availability(Availability::Serving).await;
    let started = Instant::now();
    let mut counts = vec![reads(&server)];
    while started.elapsed() < RETURN_COUNTED {
        Timer::after(SAMPLE).await;
        counts.push(reads(&server));
    }
    let spans = counts.windows(BUSIEST_SPAN_SAMPLES + 1);
    let calls = spans.map(|span| span[BUSIEST_SPAN_SAMPLES] - span[0]);
    calls.max().unwrap_or(0) as f64
}

async fn bytes(report: &mut Report) {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    if metrics::set_global_recorder(recorder).is_err() {
        return;
    }
    let all = bytes_a_change(&handle, 0).await;
    let single = bytes_a_change(&handle, 64).await;
    let per_s = CHANGES_PER_DAY / 86_400.0;
    report.figure("store.watch.change.baseline", all, "bytes", Limit::None);
    report.figure(
        "store.watch.change",
        single,
        "bytes",
        Limit::AtMost(all / 5.0),
    );
    report.figure(
        "store.watch.target.baseline",
        all * per_s,
        "bytes/s",
        Limit::None,
    );
    report.figure(
        "store.watch.target",
        single * per_s,
        "bytes/s",
        Limit::AtMost(3_000.0),
    );
}

/// Returns the bytes of answers that a change brings a watching instance.
async fn bytes_a_change(handle: &PrometheusHandle, individual_watches_max: usize) -> f64 {
    let server = start_server().await;
    for number in 0..ORGANISATIONS {
        set_document(&server, number, 0);
    }
    let options = WatchOptions {
        individual_watches_max,
        call_interval_min: Duration::from_millis(1),
        ..WatchOptions::default()
    };
    let watch = ConfigurationWatch::new(Arc::new(store(&server)), || true, options);
    let (sender, receiver) = unbounded();
    let _watch = smol::spawn(watch.run(sender));
    let _discard = smol::spawn(async move { while receiver.recv().await.is_ok() {} });
    Timer::after(CHANGE_PERIOD).await;
    let before = answer_bytes(handle);
    for round in 1..=CHANGES {
        set_document(&server, round % ORGANISATIONS, round);
        Timer::after(CHANGE_PERIOD / 5).await;
    }
    (answer_bytes(handle) - before) / f64::from(CHANGES)
}

fn set_document(server: &StoreServer, number: u32, round: u32) {
    let document = format!("{round:>DOCUMENT_BYTES$}");
    server.set_value(
        &format!("{ORGANISATION_PREFIX}measured-{number:02}"),
        document,
    );
}

/// Returns the bytes of all answers of the store so far.
fn answer_bytes(handle: &PrometheusHandle) -> f64 {
    let text = handle.render();
    let lines = text
        .lines()
        .filter(|line| line.starts_with("foxtide_store_answer_bytes_total"));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum()
}

async fn start_server() -> StoreServer {
    let server = StoreServer::start(StoreOptions::default()).await;
    let server = server.expect("a free port");
    server.set_value(&format!("{ORGANISATION_PREFIX}measured"), "first");
    server
}

fn reads(server: &StoreServer) -> u64 {
    let calls = server.calls();
    calls.total(CallKind::Read) + calls.total(CallKind::Watch)
}

/// Starts the fleet's watches; they end with the tasks.
fn start_fleet(server: &StoreServer, instances: u32, behaviour: Behaviour) -> Vec<Task<()>> {
    let numbers = 0..instances;
    let tasks = numbers.map(|number| match behaviour {
        Behaviour::FixedRetry => smol::spawn(fixed_retry(store(server))),
        Behaviour::AllWatch => start_watch(server, instances, number, true),
        Behaviour::Chosen => {
            let chosen = number / ZONES < WATCHERS_PER_ZONE;
            start_watch(server, instances, number, chosen)
        }
    });
    tasks.collect()
}

fn store(server: &StoreServer) -> HttpStore {
    HttpStore::new(HttpStoreOptions {
        address: server.address(),
        ..HttpStoreOptions::default()
    })
}

fn start_watch(server: &StoreServer, instances: u32, number: u32, chosen: bool) -> Task<()> {
    let fleet = Fleet {
        live_instances: instances,
        watchers: instances.min(ZONES * WATCHERS_PER_ZONE),
        is_watcher: chosen,
    };
    let budget = StoreBudget::new(BudgetOptions::default(), fleet, MonotonicTime::ZERO);
    let peer = server.address().to_string();
    let store = Arc::new(BudgetedStore::new(store(server), &peer, budget));
    let options = WatchOptions {
        wait: WAIT,
        seed: number.into(),
        ..WatchOptions::default()
    };
    let watch = ConfigurationWatch::new(store, move || chosen, options);
    let (sender, receiver) = unbounded();
    smol::spawn(async move {
        let discard = async { while receiver.recv().await.is_ok() {} };
        smol::future::zip(watch.run(sender), discard).await;
    })
}

/// The baseline: a watch that is repeated, after a failure at a fixed period.
async fn fixed_retry(store: HttpStore) {
    let mut after = StoreIndex::ABSENT;
    loop {
        match store.watch(ORGANISATION_PREFIX, after, WAIT).await {
            Ok(listing) => after = listing.index,
            Err(_) => drop(Timer::after(FIXED_RETRY).await),
        }
    }
}
