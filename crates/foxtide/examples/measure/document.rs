//! Measures the size and decoding time of an organisation's document.

use crate::report::{
    Limit,
    Report, //
};
use foxtide_core::organisation::Organisation;
use foxtide_core::store::VALUE_MAX_BYTES;
use std::time::Instant;

const DECODE_ROUNDS: u32 = 200;

/// Returns a document of typical size: four services with twelve upstreams each.
fn sample_document() -> String {
    let mut services = Vec::new();
    for service in ["viewer", "notices", "archive", "hazards"] {
        let mut upstreams = Vec::new();
        for number in 0..12 {
            let region = ["khomas", "erongo", "oshana"][number % 3];
            upstreams.push(format!(
                r#"{{"upstream":"{service}-{number}","address":"127.0.0.1:{}","region":"{region}",
                "availability_zone":"{region}-a","slots":4,"connections":360}}"#,
                9_000 + number
            ));
        }
        services.push(format!(
            r#"{{"service":"{service}","contract":{{"homes":[{{"region":"khomas","share":1}}],
            "spill_limit_share":0.2,"shift_cap_share_per_s":0.02,"drain_window_s":30,
            "deadline_ms":2000,"priority":"headroom","idempotent_methods":["GET"]}},
            "upstreams":[{}]}}"#,
            upstreams.join(",")
        ));
    }
    format!(
        r#"{{"schema_version":1,"organisation":"hamutenya","revision":1,"change_id":"c1",
        "regions":[],"links":[],"services":[{}]}}"#,
        services.join(",")
    )
}

pub(crate) fn run(report: &mut Report) {
    let text = sample_document();
    let started = Instant::now();
    for _ in 0..DECODE_ROUNDS {
        let decoded: Result<Organisation, _> = serde_json::from_str(&text);
        assert!(decoded.is_ok(), "valid document");
    }
    let mean_us = started.elapsed().as_secs_f64() * 1e6 / f64::from(DECODE_ROUNDS);
    let limit = Limit::AtMost(VALUE_MAX_BYTES as f64);
    report.figure("document.size", text.len() as f64, "bytes", limit);
    report.figure("document.decode", mean_us, "us", Limit::None);
    let per_upstream = mean_us / 48.0;
    report.figure(
        "document.decode_per_upstream",
        per_upstream,
        "us",
        Limit::None,
    );
    let rate = 1e6 / mean_us;
    report.figure("document.decode_rate", rate, "1/s", Limit::AtLeast(100.0));
}
