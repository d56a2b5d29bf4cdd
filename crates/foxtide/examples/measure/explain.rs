//! Measures the time and memory of the explain log, compared with storing a
//! formatted text for each request.

use crate::report::{
    Limit,
    Report, //
};
use foxtide_core::events::RequestId;
use foxtide_core::explain::{
    AttemptResult,
    Candidate,
    CandidateName,
    Decision,
    DecisionKind,
    ExplainFilter,
    Figure,
    FigureKind,
    Rule,
    View, //
};
use foxtide_core::ids::{
    RegionId,
    UpstreamId, //
};
use foxtide_core::time::WallTime;
use foxtide_events::Explainer;
use std::collections::VecDeque;
use std::time::Instant;

/// Look-ups per second at one instance of the target fleet: 590,000 over 600.
const DECISIONS_PER_S: usize = 983;
const DURATION_S: usize = 60;
const BASELINE_TEXTS: usize = 20_480;
const SERVICES: usize = 4;
const SIZE_MAX_BYTES: f64 = 4_194_304.0;

pub(crate) fn run(report: &mut Report) {
    let explainer = Explainer::default();
    let started = Instant::now();
    record_decisions(&explainer);
    let decisions = (DECISIONS_PER_S * DURATION_S) as f64;
    let mean_us = started.elapsed().as_secs_f64() * 1e6 / decisions;
    let size = explainer.size_bytes() as f64;
    let decision = size_of::<Decision>() as f64;
    report.figure("explain.decision", decision, "bytes", Limit::AtMost(128.0));
    report.figure("explain.note", mean_us, "us", Limit::AtMost(5.0));
    report.figure("explain.size", size, "bytes", Limit::AtMost(SIZE_MAX_BYTES));
    let span_s = explainer.select(&ExplainFilter::default()).len() as f64 / DECISIONS_PER_S as f64;
    report.figure("explain.kept", span_s, "s", Limit::AtLeast(10.0));
    let started = Instant::now();
    let found = explainer.select(&ExplainFilter {
        request: Some(request(DECISIONS_PER_S * DURATION_S - 1)),
        ..ExplainFilter::default()
    });
    let select_us = started.elapsed().as_secs_f64() * 1e6;
    assert_eq!(found.len(), 1, "the latest request is in the log");
    report.figure("explain.ask", select_us, "us", Limit::None);
    measure_baseline(report);
}

fn request(number: usize) -> RequestId {
    let text = format!("0197f000-0000-7000-8000-{number:012}");
    text.parse().expect("valid request id")
}

fn record_decisions(explainer: &Explainer) {
    let region: RegionId = "khomas".parse().expect("valid name");
    let upstream: UpstreamId = "viewer-3".parse().expect("valid name");
    for second in 0..DURATION_S {
        let now = WallTime::from_ms(second as u64 * 1_000);
        let views: Vec<_> = (0..SERVICES)
            .map(|service| explainer.publish(view(service, now)))
            .collect();
        for index in 0..DECISIONS_PER_S {
            let rule = if index % 20 == 0 {
                Rule::Spilled
            } else {
                Rule::Weighted
            };
            let chosen_region = Some(region.clone());
            let view = views[index % SERVICES];
            let decision = Decision::new(DecisionKind::Request, rule, view, chosen_region, now);
            let mut decision = decision.with_request(&request(second * DECISIONS_PER_S + index));
            decision.add_attempt(upstream.clone(), AttemptResult::Answered);
            explainer.record(decision);
        }
    }
}

/// Returns a view of fifteen candidates with four figures each.
fn view(service: usize, taken_us: WallTime) -> View {
    let figures = [
        FigureKind::WeightShare,
        FigureKind::AllowedRps,
        FigureKind::SentRps,
        FigureKind::LatencyMs,
    ];
    let candidate = |number: usize| Candidate {
        name: CandidateName::Upstream(format!("viewer-{number}").parse().expect("valid name")),
        region: None,
        excluded: None,
        figures: figures
            .iter()
            .map(|kind| Figure {
                kind: *kind,
                value: 0.5,
                age_ms: 100,
            })
            .collect(),
    };
    View {
        organisation: "hamutenya".parse().expect("valid name"),
        service: format!("service-{service}").parse().expect("valid name"),
        revision: 1,
        taken_us,
        candidates: (0..15).map(candidate).collect(),
    }
}

/// Formats and stores the same figures as a text for each request.
fn measure_baseline(report: &mut Report) {
    let mut texts: VecDeque<String> = VecDeque::with_capacity(BASELINE_TEXTS);
    let started = Instant::now();
    for number in 0..BASELINE_TEXTS {
        let mut text = format!("{} weighted region=khomas", request(number));
        for candidate in 0..15 {
            let figures =
                format!(" viewer-{candidate}: weight=0.5 allowed=0.5 sent=0.5 latency=0.5");
            text += &figures;
        }
        texts.push_back(text);
    }
    let mean_us = started.elapsed().as_secs_f64() * 1e6 / BASELINE_TEXTS as f64;
    let size: usize = texts.iter().map(String::capacity).sum();
    report.figure("explain.baseline_text.note", mean_us, "us", Limit::None);
    report.figure(
        "explain.baseline_text.size",
        size as f64,
        "bytes",
        Limit::None,
    );
}
