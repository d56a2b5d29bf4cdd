//! Sets up logging and metrics.

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

/// The log filter if `RUST_LOG` is not set.
const DEFAULT_LOG_FILTER: &str = "info";

/// Upper bounds of the latency histogram buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 14] = [
    0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.0, 1.5, 3.0, 6.0, 12.0,
];

/// Upper bounds of the buckets for the slowness of upstreams; 1 is usual.
const SLOWNESS_BUCKETS: [f64; 8] = [0.5, 0.8, 1.0, 1.25, 1.6, 2.0, 3.0, 4.0];

static METRICS: OnceLock<PrometheusHandle> = OnceLock::new();

/// Starts logging to standard error. Has no effect if logging is set up.
pub fn start_logging() {
    start_logging_at(DEFAULT_LOG_FILTER);
}

/// Starts logging to standard error with `filter` if `RUST_LOG` is not set.
pub fn start_logging_at(filter: &str) {
    let environment = env_logger::Env::default().default_filter_or(filter);
    // A test or an example may already have set up logging.
    let _ = env_logger::Builder::from_env(environment).try_init();
}

/// Starts logging to standard output, one JSON object per line.
pub fn start_structured_logging() {
    let environment = env_logger::Env::default().default_filter_or(DEFAULT_LOG_FILTER);
    let _ = env_logger::Builder::from_env(environment)
        .format(structured::write_line)
        .target(env_logger::Target::Pipe(Box::new(LineWriter::start())))
        .try_init();
}

/// Waits for queued lines to be written, for a bounded time.
pub(crate) fn flush_log() {
    writer::flush();
}

/// Returns the handle that renders the metrics. The first call installs the
/// recorder.
pub fn start_metrics() -> PrometheusHandle {
    let start = || {
        let seconds = Matcher::Suffix("_seconds".to_owned());
        let slowness = Matcher::Full("foxtide_upstream_slowness".to_owned());
        let builder = PrometheusBuilder::new();
        // Fails only if the bucket list is empty.
        let builder = builder
            .set_buckets_for_metric(seconds, &LATENCY_BUCKETS_S)
            .and_then(|builder| builder.set_buckets_for_metric(slowness, &SLOWNESS_BUCKETS))
            .unwrap_or_default();
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        // If an embedding process has its own recorder, this one stays empty.
        let _ = metrics::set_global_recorder(recorder);
        handle
    };
    METRICS.get_or_init(start).clone()
}
