//! Measures the calls to the store by size of the fleet and after an outage, compared
//! with instances that all watch the store and retry at a fixed period.

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

const FLEET_SIZES: [u32; 3] = [10, 40, 160];

const ZONES: u32 = 6;
const WATCHERS_PER_ZONE: u32 = 2;

const STEADY_DURATION: Duration = Duration::from_secs(6);

/// Wait of a watch call; shorter than in operation, so that the measurement covers
/// several calls. The call rate of a watch is inversely proportional to it.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// Interval between changes of the measured organisation.
const CHANGE_PERIOD: Duration = Duration::from_millis(500);

const OUTAGE_DURATION: Duration = Duration::from_secs(6);
const FIXED_RETRY_PERIOD: Duration = Duration::from_secs(1);

/// Calls are sampled for this long after the outage, to find the peak rate.
const RECOVERY_DURATION: Duration = Duration::from_secs(16);
const SAMPLE_PERIOD: Duration = Duration::from_millis(50);
const PEAK_SPAN_SAMPLES: usize = 4;

const ORGANISATIONS: u32 = 20;
const DOCUMENT_BYTES: usize = 10_000;
const CHANGES: u32 = 20;

/// Configuration changes per day of the target fleet.
const CHANGES_PER_DAY: f64 = 2_800.0;

/// Which instances watch the store, and how they retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchMode {
    /// Every instance watches and retries at a fixed period: the baseline.
    FixedRetry,
    /// Every instance watches, with a call budget and jittered back-off.
    All,
    /// The elected instances watch, with a call budget and jittered back-off.
    Elected,
}

pub(crate) fn run(report: &mut Report) {
    smol::block_on(async {
        measure_growth(report).await;
        measure_outage(report).await;
        measure_bytes(report).await;
    });
}

async fn measure_growth(report: &mut Report) {
    let mut elected = Vec::new();
    let mut baseline = Vec::new();
    for instances in FLEET_SIZES {
        elected.push(steady_calls_per_s(instances, WatchMode::Elected).await);
        baseline.push(steady_calls_per_s(instances, WatchMode::FixedRetry).await);
    }
    for (index, instances) in FLEET_SIZES.iter().enumerate() {
        let name = format!("store.calls.{instances}");
        report.figure(&name, elected[index], "calls/s", Limit::None);
        let name = format!("store.calls.{instances}.baseline");
        report.figure(&name, baseline[index], "calls/s", Limit::None);
    }
    // The smallest fleet is left out: it has fewer instances than watchers.
    let added = f64::from(FLEET_SIZES[2] - FLEET_SIZES[1]);
    let slope = (elected[2] - elected[1]) / added;
    let baseline_slope = (baseline[2] - baseline[1]) / added;
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

/// Returns the call rate of a fleet while an organisation changes at a fixed interval.
async fn steady_calls_per_s(instances: u32, mode: WatchMode) -> f64 {
    let server = start_server().await;
    let _fleet = start_fleet(&server, instances, mode);
    Timer::after(WATCH_WAIT).await;
    let before = reads(&server);
    let started = Instant::now();
    let mut round = 0_u32;
    while started.elapsed() < STEADY_DURATION {
        server.set_value(&format!("{ORGANISATION_PREFIX}measured"), round.to_string());
        round += 1;
        Timer::after(CHANGE_PERIOD).await;
    }
    (reads(&server) - before) as f64 / started.elapsed().as_secs_f64()
}

async fn measure_outage(report: &mut Report) {
    let largest = FLEET_SIZES[2];
    let baseline = peak_after_outage(largest, WatchMode::FixedRetry).await;
    let all = peak_after_outage(largest, WatchMode::All).await;
    let elected = peak_after_outage(largest, WatchMode::Elected).await;
    report.figure(
        "store.return.peak.baseline",
        baseline,
        "calls/200ms",
        Limit::None,
    );
    report.figure(
        "store.return.peak.all_watch",
        all,
        "calls/200ms",
        Limit::AtMost(baseline / 2.0),
    );
    report.figure(
        "store.return.peak",
        elected,
        "calls/200ms",
        Limit::AtMost(baseline / 10.0),
    );
    report.figure(
        "store.return.peak.ratio",
        elected / baseline,
        "of baseline",
        Limit::AtMost(0.1),
    );
}

/// Returns the maximum number of calls within 200 ms after an outage.
async fn peak_after_outage(instances: u32, mode: WatchMode) -> f64 {
    let server = start_server().await;
    let _fleet = start_fleet(&server, instances, mode);
    Timer::after(WATCH_WAIT).await;
    server.set_availability(Availability::Refusing).await;
    server.close_connections();
    Timer::after(OUTAGE_DURATION).await;
    server.set_availability(Availability::Serving).await;
    let started = Instant::now();
    let mut counts = vec![reads(&server)];
    while started.elapsed() < RECOVERY_DURATION {
        Timer::after(SAMPLE_PERIOD).await;
        counts.push(reads(&server));
    }
    let spans = counts.windows(PEAK_SPAN_SAMPLES + 1);
    let calls = spans.map(|span| span[PEAK_SPAN_SAMPLES] - span[0]);
    calls.max().unwrap_or(0) as f64
}

async fn measure_bytes(report: &mut Report) {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    if metrics::set_global_recorder(recorder).is_err() {
        return;
    }
    let listing = bytes_per_change(&handle, 0).await;
    let individual = bytes_per_change(&handle, 64).await;
    let per_s = CHANGES_PER_DAY / 86_400.0;
    report.figure("store.watch.change.baseline", listing, "bytes", Limit::None);
    report.figure(
        "store.watch.change",
        individual,
        "bytes",
        Limit::AtMost(listing / 5.0),
    );
    report.figure(
        "store.watch.target.baseline",
        listing * per_s,
        "bytes/s",
        Limit::None,
    );
    report.figure(
        "store.watch.target",
        individual * per_s,
        "bytes/s",
        Limit::AtMost(3_000.0),
    );
}

/// Returns the bytes that a watcher receives per change.
async fn bytes_per_change(handle: &PrometheusHandle, individual_watches_max: usize) -> f64 {
    let server = start_server().await;
    for number in 0..ORGANISATIONS {
        write_document(&server, number, 0);
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
        write_document(&server, round % ORGANISATIONS, round);
        Timer::after(CHANGE_PERIOD / 5).await;
    }
    (answer_bytes(handle) - before) / f64::from(CHANGES)
}

fn write_document(server: &StoreServer, number: u32, round: u32) {
    let document = format!("{round:>DOCUMENT_BYTES$}");
    server.set_value(
        &format!("{ORGANISATION_PREFIX}measured-{number:02}"),
        document,
    );
}

/// Returns the total bytes received from the store.
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
    let server = server.expect("free port");
    server.set_value(&format!("{ORGANISATION_PREFIX}measured"), "first");
    server
}

fn reads(server: &StoreServer) -> u64 {
    let calls = server.calls();
    calls.total(CallKind::Read) + calls.total(CallKind::Watch)
}

/// Starts the watches of a fleet; dropping a task ends its watch.
fn start_fleet(server: &StoreServer, instances: u32, mode: WatchMode) -> Vec<Task<()>> {
    let numbers = 0..instances;
    let tasks = numbers.map(|number| match mode {
        WatchMode::FixedRetry => smol::spawn(fixed_retry(store(server))),
        WatchMode::All => start_watch(server, instances, number, true),
        WatchMode::Elected => {
            let is_watcher = number / ZONES < WATCHERS_PER_ZONE;
            start_watch(server, instances, number, is_watcher)
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

fn start_watch(server: &StoreServer, instances: u32, number: u32, is_watcher: bool) -> Task<()> {
    let fleet = Fleet {
        live_instances: instances,
        watchers: instances.min(ZONES * WATCHERS_PER_ZONE),
        is_watcher,
    };
    let budget = StoreBudget::new(BudgetOptions::default(), fleet, MonotonicTime::ZERO);
    let peer = server.address().to_string();
    let store = Arc::new(BudgetedStore::new(store(server), &peer, budget));
    let options = WatchOptions {
        wait: WATCH_WAIT,
        seed: number.into(),
        ..WatchOptions::default()
    };
    let watch = ConfigurationWatch::new(store, move || is_watcher, options);
    let (sender, receiver) = unbounded();
    smol::spawn(async move {
        let discard = async { while receiver.recv().await.is_ok() {} };
        smol::future::zip(watch.run(sender), discard).await;
    })
}

/// Repeats a watch call; waits for a fixed period after a failure.
async fn fixed_retry(store: HttpStore) {
    let mut after = StoreIndex::ABSENT;
    loop {
        match store.watch(ORGANISATION_PREFIX, after, WATCH_WAIT).await {
            Ok(listing) => after = listing.index,
            Err(_) => drop(Timer::after(FIXED_RETRY_PERIOD).await),
        }
    }
}
