//! Measures planned stops of instances and upstreams under load of requests
//! that must not run twice; none of them may fail.

use super::instance::Instance;
use super::load::{
    Callers,
    FastUpstream,
    Run,
    SharedAddress, //
};
use crate::report::{
    Limit,
    Report, //
};
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const STOPS: usize = 20;
const UPSTREAMS: usize = 4;
const RATE_RPS: f64 = 2_000.0;
const REQUEST: &str = "/hamutenya/viewer/notices";

/// The time from the announcement of an upstream's drain until it stops. Drained
/// upstreams must receive no new requests 2 s after the announcement.
const DRAIN_NOTICE: Duration = Duration::from_millis(500);

/// The time before and after each stop.
const PAUSE: Duration = Duration::from_millis(100);

pub(crate) fn run(report: &mut Report) {
    let upstreams: Vec<FastUpstream> = (0..UPSTREAMS).map(|_| FastUpstream::start()).collect();
    let addresses: Vec<SocketAddr> = upstreams.iter().map(|upstream| upstream.address).collect();
    let run = stop_instances(&addresses);
    report_figures(report, "instance_stops", &run);
    let run = stop_upstreams(&upstreams, &addresses);
    report_figures(report, "upstream_stops", &run);
}

fn report_figures(report: &mut Report, name: &str, run: &Run) {
    let answered = run.answered as f64;
    let whole = Limit::AtLeast(1.0);
    report.figure(&format!("proxy.{name}.answered"), answered, "", whole);
    let cut = run.failed as f64;
    report.figure(&format!("proxy.{name}.cut"), cut, "", Limit::AtMost(0.0));
}

/// Repeatedly starts a new instance, moves callers to it and drains the old one.
fn stop_instances(addresses: &[SocketAddr]) -> Run {
    let mut instance = Instance::start(2, addresses);
    let address: SharedAddress = Arc::new(Mutex::new(instance.entry.caller_address()));
    let duration = (DRAIN_NOTICE + PAUSE * 2) * STOPS as u32;
    let callers = start_callers(&address, duration);
    for _ in 0..STOPS {
        std::thread::sleep(PAUSE);
        let next = Instance::start(2, addresses);
        *address.lock() = next.entry.caller_address();
        let leaving = std::mem::replace(&mut instance, next);
        smol::block_on(leaving.entry.drain());
    }
    callers.join().expect("the callers do not panic")
}

/// Repeatedly drains, stops and restarts one upstream after another.
fn stop_upstreams(upstreams: &[FastUpstream], addresses: &[SocketAddr]) -> Run {
    let instance = Instance::start(2, addresses);
    let address: SharedAddress = Arc::new(Mutex::new(instance.entry.caller_address()));
    let duration = (DRAIN_NOTICE + PAUSE * 2) * STOPS as u32;
    let callers = start_callers(&address, duration);
    for stop in 0..STOPS {
        let number = stop % UPSTREAMS;
        std::thread::sleep(PAUSE);
        instance.dependencies.configure(addresses, &[number]);
        std::thread::sleep(DRAIN_NOTICE);
        upstreams[number].set_stopped(true);
        std::thread::sleep(PAUSE);
        upstreams[number].set_stopped(false);
        instance.dependencies.configure(addresses, &[]);
    }
    callers.join().expect("the callers do not panic")
}

fn start_callers(address: &SharedAddress, duration: Duration) -> std::thread::JoinHandle<Run> {
    let callers = Callers {
        address: Arc::clone(address),
        method: "POST",
        target: REQUEST,
        count: 8,
        rate_rps: Some(RATE_RPS),
        duration,
    };
    std::thread::spawn(move || callers.run())
}
