//! Measures latency, throughput, memory and processor time of the request path,
//! compared with requests sent to the upstream directly.

mod instance;
mod load;
mod stops;
mod usage;

use crate::report::{
    Limit,
    Report, //
};
use instance::Instance;
use load::{
    Callers,
    FastUpstream,
    Run,
    connect, //
};
use parking_lot::Mutex;
use std::io::Write;
use std::net::{
    SocketAddr,
    TcpStream, //
};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{
    Duration,
    Instant, //
};
use usage::{
    resident_bytes,
    worker_cpu_time, //
};

const WORKERS: usize = 2;
const CALLERS: u32 = 16;
const RUN_TIME: Duration = Duration::from_secs(1);
const SATURATED_RUNS: u32 = 7;
const REQUEST: &str = "/hamutenya/viewer/cracks/17";
const LOOKUP: &str = "/v1/lookup?organisation=hamutenya&service=viewer";
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The number of connections opened between two memory readings.
const CONNECTIONS_PER_STEP: usize = 1_000;

/// The numbers of upstreams between which the slope of control work is measured.
const CONTROL_UPSTREAMS: [usize; 2] = [48, 1_248];
const CONTROL_WARM_UP: Duration = Duration::from_secs(2);
const CONTROL_TIME: Duration = Duration::from_secs(3);

/// The number of held requests sent without a pause.
const HELD_BATCH: usize = 20;

pub(crate) fn run(report: &mut Report) {
    let upstream = FastUpstream::start();
    let instance = Instance::start(WORKERS, &[upstream.address]);
    let entry = instance.entry.caller_address();
    measure_rates(report, entry, upstream.address);
    measure_lookups(report, entry);
    measure_memory(report, &instance, &upstream);
    measure_control(report, upstream.address);
    stops::run(report);
}

fn run_callers(address: SocketAddr, target: &'static str, rate_rps: Option<f64>) -> Run {
    let callers = Callers {
        address: Arc::new(Mutex::new(address)),
        method: "GET",
        target,
        count: CALLERS,
        rate_rps,
        duration: RUN_TIME,
    };
    callers.run()
}

/// Returns the fastest of several saturated runs, and the least processor time
/// per request, in microseconds. Other load on the machine only slows runs down.
fn saturate(address: SocketAddr, target: &'static str) -> (Run, f64) {
    let run = |_| {
        let cpu_before = worker_cpu_time();
        let run = run_callers(address, target, None);
        let cpu = worker_cpu_time() - cpu_before;
        let cpu_us = cpu.as_secs_f64() * 1e6 / run.answered as f64;
        (run, cpu_us)
    };
    let (runs, cpu_us): (Vec<Run>, Vec<f64>) = (0..SATURATED_RUNS).map(run).unzip();
    let min_cpu_us = cpu_us.into_iter().fold(f64::INFINITY, f64::min);
    let fastest = |a: &Run, b: &Run| a.rate_rps().total_cmp(&b.rate_rps());
    let fastest = runs.into_iter().max_by(fastest);
    (fastest.expect("there is a run"), min_cpu_us)
}

fn measure_rates(report: &mut Report, entry: SocketAddr, upstream: SocketAddr) {
    let direct = run_callers(upstream, REQUEST, None);
    let (saturated, cpu_us) = saturate(entry, REQUEST);
    report.figure("proxy.direct_rate", direct.rate_rps(), "1/s", Limit::None);
    report.figure(
        "proxy.saturated_rate",
        saturated.rate_rps(),
        "1/s",
        Limit::None,
    );
    report.figure("proxy.cpu_per_request", cpu_us, "us", Limit::None);
    report.figure(
        "proxy.failed",
        saturated.failed as f64,
        "",
        Limit::AtMost(0.0),
    );
    let half_rps = Some(saturated.rate_rps() / 2.0);
    let direct = run_callers(upstream, REQUEST, half_rps);
    let proxied = run_callers(entry, REQUEST, half_rps);
    report.figure("proxy.half_rate", proxied.rate_rps(), "1/s", Limit::None);
    for (name, quantile, limit_ms) in [("p50", 0.5, 0.2), ("p99", 0.99, 2.0)] {
        let (direct_ms, proxied_ms) = (direct.latency_ms(quantile), proxied.latency_ms(quantile));
        report.figure(
            &format!("proxy.direct_{name}"),
            direct_ms,
            "ms",
            Limit::None,
        );
        report.figure(
            &format!("proxy.proxied_{name}"),
            proxied_ms,
            "ms",
            Limit::None,
        );
        let added_ms = proxied_ms - direct_ms;
        let limit = Limit::AtMost(limit_ms);
        report.figure(&format!("proxy.added_{name}"), added_ms, "ms", limit);
    }
}

fn measure_lookups(report: &mut Report, entry: SocketAddr) {
    let (run, cpu_us) = saturate(entry, LOOKUP);
    report.figure("proxy.lookup_rate", run.rate_rps(), "1/s", Limit::None);
    let per_core = 1e6 / cpu_us;
    report.figure("proxy.lookup_rate_per_core", per_core, "1/s", Limit::None);
}

/// Measures the memory of idle connections and of requests in flight. The first
/// step uses up memory that the process holds free; the second is measured.
fn measure_memory(report: &mut Report, instance: &Instance, upstream: &FastUpstream) {
    let mut first = open_connections(instance, CONNECTIONS_PER_STEP);
    let before = resident_bytes();
    let mut second = open_connections(instance, CONNECTIONS_PER_STEP);
    let idle_bytes = (resident_bytes() - before) / CONNECTIONS_PER_STEP as f64;
    report.figure("proxy.idle_connection", idle_bytes, "bytes", Limit::None);
    upstream.set_holding(true);
    send_held_requests(&mut first, upstream);
    let busy_bytes = send_held_requests(&mut second, upstream);
    let mut direct: Vec<TcpStream> = (0..CONNECTIONS_PER_STEP)
        .map(|_| connect(upstream.address))
        .collect();
    // The fake upstream runs in this process, with a thread per connection.
    let upstream_bytes = send_held_requests(&mut direct, upstream);
    report.figure("proxy.busy_upstream", upstream_bytes, "bytes", Limit::None);
    let busy_bytes = busy_bytes - upstream_bytes;
    report.figure("proxy.busy_request", busy_bytes, "bytes", Limit::None);
    upstream.set_holding(false);
}

/// Measures the processor time of an instance without callers: its ticks, and
/// polls of every upstream twice a second.
fn measure_control(report: &mut Report, upstream: SocketAddr) {
    let [few, many] = CONTROL_UPSTREAMS.map(|count| control_share(upstream, count));
    let added = (CONTROL_UPSTREAMS[1] - CONTROL_UPSTREAMS[0]) as f64;
    report.figure("proxy.control_few", few * 100.0, "% of a core", Limit::None);
    report.figure(
        "proxy.control_many",
        many * 100.0,
        "% of a core",
        Limit::None,
    );
    let slope = (many - few) * 100.0 / added * 1_000.0;
    report.figure("proxy.control_per_1000", slope, "% of a core", Limit::None);
}

/// Returns the share of a core that an instance with `count` upstreams uses.
fn control_share(upstream: SocketAddr, count: usize) -> f64 {
    let address = |number: usize| {
        // Distinct addresses, so that the instance keeps separate connections.
        let [.., high, low] = (number as u32 + 1).to_be_bytes();
        SocketAddr::from(([127, 1, high, low], upstream.port()))
    };
    let addresses: Vec<SocketAddr> = (0..count).map(address).collect();
    let _instance = Instance::start(1, &addresses);
    std::thread::sleep(CONTROL_WARM_UP);
    let before = worker_cpu_time();
    std::thread::sleep(CONTROL_TIME);
    (worker_cpu_time() - before).as_secs_f64() / CONTROL_TIME.as_secs_f64()
}

/// Sends a request on each connection to an upstream that holds its answers;
/// returns the memory per request, in bytes.
fn send_held_requests(streams: &mut [TcpStream], upstream: &FastUpstream) -> f64 {
    let before = resident_bytes();
    let received_before = upstream.received.load(Ordering::SeqCst);
    let request = format!("GET {REQUEST} HTTP/1.1\r\nhost: x\r\n\r\n");
    for batch in streams.chunks_mut(HELD_BATCH) {
        for stream in batch {
            let _ = stream.write_all(request.as_bytes());
        }
        // Keeps new connections to the upstream within its listen backlog.
        std::thread::sleep(Duration::from_millis(5));
    }
    let expected = received_before + streams.len() as u64;
    wait_until(|| upstream.received.load(Ordering::SeqCst) >= expected);
    (resident_bytes() - before) / streams.len() as f64
}

fn open_connections(instance: &Instance, count: usize) -> Vec<TcpStream> {
    let before = instance.entry.connections();
    let address = instance.entry.caller_address();
    let streams = (0..count).map(|_| connect(address)).collect();
    wait_until(|| instance.entry.connections() >= before + count);
    streams
}

pub(crate) fn wait_until(condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() && started.elapsed() < WAIT_TIMEOUT {
        std::thread::sleep(Duration::from_millis(5));
    }
}
