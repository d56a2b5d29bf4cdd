//! Logs and metrics of the process.

mod structured;
mod writer;

pub(crate) use structured::set_instance;
use writer::LineWriter;

use metrics_exporter_prometheus::{
    Matcher,
    PrometheusBuilder,
    PrometheusHandle, //
};
use std::sync::OnceLock;

/// The level at which numbered events are logged where `RUST_LOG` says nothing.
const DEFAULT_LOG_FILTER: &str = "info";

/// The upper bounds of the buckets of latency histograms, in seconds: from a
/// look-up's time to the longest time limit of a request.
const LATENCY_BUCKETS_S: [f64; 14] = [
    0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.0, 1.5, 3.0, 6.0, 12.0,
];

static METRICS: OnceLock<PrometheusHandle> = OnceLock::new();

/// Starts logging to standard error; a second call changes nothing.
pub fn start_logging() {
    start_logging_at(DEFAULT_LOG_FILTER);
}

/// Starts logging with another level where `RUST_LOG` says nothing.
pub fn start_logging_at(filter: &str) {
    let environment = env_logger::Env::default().default_filter_or(filter);
    // A test or an example may have set up logging already: that one stays.
    let _ = env_logger::Builder::from_env(environment).try_init();
}

/// Starts logging to standard output, one JSON object a line.
pub fn start_structured_logging() {
    let environment = env_logger::Env::default().default_filter_or(DEFAULT_LOG_FILTER);
    let _ = env_logger::Builder::from_env(environment)
        .format(structured::write_line)
        .target(env_logger::Target::Pipe(Box::new(LineWriter::start())))
        .try_init();
}

/// Waits until the lines so far are on standard output, for 0.3 s at most.
pub(crate) fn flush_log() {
    writer::flush();
}

/// Starts to collect metrics, once a process, and returns the handle that
/// renders them.
pub fn start_metrics() -> PrometheusHandle {
    let start = || {
        let seconds = Matcher::Suffix("_seconds".to_owned());
        let builder = PrometheusBuilder::new();
        // Fails only without buckets.
        let builder = builder
            .set_buckets_for_metric(seconds, &LATENCY_BUCKETS_S)
            .unwrap_or_default();
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        // An embedding process may have its own recorder; ours then stays empty.
        let _ = metrics::set_global_recorder(recorder);
        handle
    };
    METRICS.get_or_init(start).clone()
}
