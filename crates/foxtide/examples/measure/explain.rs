//! What it costs to be able to explain every look-up and request, against
//! keeping a text for each.

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

/// Look-ups a second at one instance at target size: 590,000 over 600.
const DECISIONS_PER_S: usize = 983;
const SECONDS: usize = 60;
const KEPT: usize = 20_480;
const SERVICES: usize = 4;
const SIZE_MAX_BYTES: f64 = 4_194_304.0;

/// Measures the explain log.
pub(crate) fn run(report: &mut Report) {
    let explainer = Explainer::default();
    let started = Instant::now();
    fill(&explainer);
    let decisions = (DECISIONS_PER_S * SECONDS) as f64;
    let each_us = started.elapsed().as_secs_f64() * 1e6 / decisions;
    let size = explainer.size_bytes() as f64;
    let decision = size_of::<Decision>() as f64;
    report.figure("explain.decision", decision, "bytes", Limit::AtMost(128.0));
    report.figure("explain.note", each_us, "us", Limit::AtMost(5.0));
    report.figure("explain.size", size, "bytes", Limit::AtMost(SIZE_MAX_BYTES));
    let kept_s = explainer.select(&ExplainFilter::default()).len() as f64 / DECISIONS_PER_S as f64;
    report.figure("explain.kept", kept_s, "s", Limit::AtLeast(10.0));
    let started = Instant::now();
    let found = explainer.select(&ExplainFilter {
        request: Some(request(DECISIONS_PER_S * SECONDS - 1)),
        ..ExplainFilter::default()
    });
    let ask_us = started.elapsed().as_secs_f64() * 1e6;
    assert_eq!(found.len(), 1, "the latest request is kept");
    report.figure("explain.ask", ask_us, "us", Limit::None);
    baseline(report);
}

fn request(number: usize) -> RequestId {
    let text = format!("0197f000-0000-7000-8000-{number:012}");
    text.parse().expect("a request id")
}

fn fill(explainer: &Explainer) {
    let region: RegionId = "khomas".parse().expect("a name");
    let upstream: UpstreamId = "viewer-3".parse().expect("a name");
    for second in 0..SECONDS {
        let now = WallTime::from_ms(second as u64 * 1_000);
        let views: Vec<_> = (0..SERVICES)
            .map(|service| explainer.publish(view(service, now)))
            .collect();
        for place in 0..DECISIONS_PER_S {
            let rule = if place % 20 == 0 {
                Rule::Spilled
            } else {
                Rule::Weighted
            };
            let place_in = Some(region.clone());
            let view = views[place % SERVICES];
            let decision = Decision::new(DecisionKind::Request, rule, view, place_in, now);
            let mut decision = decision.with_request(&request(second * DECISIONS_PER_S + place));
            decision.add_attempt(upstream.clone(), AttemptResult::Answered);
            explainer.record(decision);
        }
    }
}

/// Three regions and twelve upstreams with four figures each.
fn view(service: usize, taken_us: WallTime) -> View {
    let figures = [
        FigureKind::WeightShare,
        FigureKind::AllowedRps,
        FigureKind::SentRps,
        FigureKind::LatencyMs,
    ];
    let candidate = |number: usize| Candidate {
        name: CandidateName::Upstream(format!("viewer-{number}").parse().expect("a name")),
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
        organisation: "hamutenya".parse().expect("a name"),
        service: format!("service-{service}").parse().expect("a name"),
        revision: 1,
        taken_us,
        candidates: (0..15).map(candidate).collect(),
    }
}

/// Keeps a text that holds the same figures for each request.
fn baseline(report: &mut Report) {
    let mut texts: VecDeque<String> = VecDeque::with_capacity(KEPT);
    let started = Instant::now();
    for number in 0..KEPT {
        let mut text = format!("{} weighted region=khomas", request(number));
        for candidate in 0..15 {
            let figures =
                format!(" viewer-{candidate}: weight=0.5 allowed=0.5 sent=0.5 latency=0.5");
            text += &figures;
        }
        texts.push_back(text);
    }
    let each_us = started.elapsed().as_secs_f64() * 1e6 / KEPT as f64;
    let size: usize = texts.iter().map(String::capacity).sum();
    report.figure("explain.baseline_text.note", each_us, "us", Limit::None);
    report.figure(
        "explain.baseline_text.size",
        size as f64,
        "bytes",
        Limit::None,
    );
}
