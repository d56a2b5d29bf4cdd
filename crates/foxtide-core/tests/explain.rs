//! Tests the explain log: selection, capacity and events for changes.

use foxtide_core::events::{
    EventCode,
    RequestId, //
};
use foxtide_core::explain::{
    AttemptResult,
    Candidate,
    CandidateName,
    Decision,
    DecisionKind,
    Exclusion,
    ExplainFilter,
    ExplainLog,
    ExplainOptions,
    Explanation,
    Figure,
    FigureKind,
    Rule,
    View,
    ViewId, //
};
use foxtide_core::time::WallTime;

fn view(taken_us: WallTime) -> View {
    let erongo = Candidate {
        name: CandidateName::Region("erongo".parse().unwrap()),
        region: None,
        excluded: Some(Exclusion::Draining),
        figures: vec![Figure {
            kind: FigureKind::WeightShare,
            value: 0.25,
            age_ms: 40,
        }],
    };
    View {
        organisation: "hamutenya".parse().unwrap(),
        service: "viewer".parse().unwrap(),
        revision: 7,
        taken_us,
        candidates: vec![erongo],
    }
}

fn decision(rule: Rule, view: ViewId, at_ms: u64, request: &str) -> Decision {
    let region = Some("khomas".parse().unwrap());
    let at = WallTime::from_ms(at_ms);
    let request: RequestId = request.parse().unwrap();
    Decision::new(DecisionKind::Request, rule, view, region, at).with_request(&request)
}

fn small_log() -> ExplainLog {
    ExplainLog::new(ExplainOptions {
        usual: 4,
        unusual: 2,
        views: 2,
        ..ExplainOptions::default()
    })
}

fn by_request(log: &ExplainLog, request: &str) -> Vec<Explanation> {
    log.select(&ExplainFilter {
        request: Some(request.parse().unwrap()),
        ..ExplainFilter::default()
    })
}

#[test]
fn verify_request_is_explained() {
    let mut log = small_log();
    let id = log.publish(view(WallTime::from_ms(1_000)));
    let mut spilled = decision(Rule::Weighted, id, 1_300, "r-1");
    spilled.add_attempt("viewer-3".parse().unwrap(), AttemptResult::Refused);
    spilled.redirect(Rule::Spilled, Some("oshana".parse().unwrap()));
    spilled.add_attempt("viewer-5".parse().unwrap(), AttemptResult::Answered);
    log.record(spilled);
    let explanations = by_request(&log, "r-1");
    insta::assert_snapshot!(serde_json::to_string_pretty(&explanations).unwrap());
}

#[test]
fn verify_flood_of_usual_requests_keeps_the_unusual() {
    let mut log = small_log();
    let id = log.publish(view(WallTime::ZERO));
    log.record(decision(Rule::NoUpstream, id, 1, "r-1"));
    for at_ms in 2..100 {
        log.record(decision(Rule::OwnRegion, id, at_ms, "r-2"));
    }
    assert_eq!(by_request(&log, "r-1").len(), 1);
    assert_eq!(by_request(&log, "r-2").len(), 4);
    let latest = ExplainFilter {
        limit: Some(3),
        ..ExplainFilter::default()
    };
    assert_eq!(log.select(&latest).len(), 3);
    let unusual = ExplainFilter {
        unusual: true,
        ..latest
    };
    assert_eq!(log.select(&unusual).len(), 1);
}

#[test]
fn verify_decisions_are_chosen_by_kind_and_service() {
    let mut log = small_log();
    let id = log.publish(view(WallTime::ZERO));
    log.record(decision(Rule::Weighted, id, 1, "r-1"));
    let count = |kind, service: &str| {
        let filter = ExplainFilter {
            kind: Some(kind),
            service: Some(service.parse().unwrap()),
            ..ExplainFilter::default()
        };
        log.select(&filter).len()
    };
    assert_eq!(count(DecisionKind::Request, "viewer"), 1);
    assert_eq!(count(DecisionKind::Request, "notices"), 0);
    assert_eq!(count(DecisionKind::Lookup, "viewer"), 0);
}

#[test]
fn verify_evicted_view_is_not_confused_with_another() {
    let mut log = small_log();
    let first = log.publish(view(WallTime::from_ms(1)));
    let second = log.publish(view(WallTime::from_ms(2)));
    log.publish(view(WallTime::from_ms(3)));
    log.record(decision(Rule::Weighted, first, 5, "r-1"));
    log.record(decision(Rule::Weighted, second, 5, "r-2"));
    assert_eq!(by_request(&log, "r-1")[0].view, None);
    let retained = by_request(&log, "r-2");
    let taken = retained[0].view.as_ref().unwrap().taken_us;
    assert_eq!(taken, WallTime::from_ms(2));
    log.record(decision(Rule::Weighted, ViewId::default(), 6, "r-3"));
    assert_eq!(by_request(&log, "r-3")[0].view, None);
}

#[test]
fn verify_views_are_due_once_an_interval() {
    let mut log = small_log();
    let first = view(WallTime::from_ms(1_000));
    let (organisation, service) = (first.organisation.clone(), first.service.clone());
    let is_due =
        |log: &ExplainLog, ms| log.is_view_due(&organisation, &service, WallTime::from_ms(ms));
    assert!(is_due(&log, 1_000));
    log.publish(first);
    assert!(!is_due(&log, 1_900));
    assert!(is_due(&log, 2_000));
}

#[test]
fn verify_default_memory_is_bounded() {
    let mut log = ExplainLog::default();
    for number in 0..40_000u64 {
        if number % 10 == 0 {
            log.publish(view(WallTime::from_ms(number)));
        }
        let rule = if number % 2 == 0 {
            Rule::Weighted
        } else {
            Rule::Spilled
        };
        log.record(decision(rule, ViewId::default(), number, "r-1"));
    }
    assert!(log.size_bytes() < 4 << 20, "{}", log.size_bytes());
    assert!(std::mem::size_of::<Decision>() <= 128);
}

fn upstream(name: &str, region: &str, excluded: Option<Exclusion>) -> Candidate {
    Candidate {
        name: CandidateName::Upstream(name.parse().unwrap()),
        region: Some(region.parse().unwrap()),
        excluded,
        figures: Vec::new(),
    }
}

fn weight(region: &str, now: f32, planned: f32) -> Candidate {
    let figure = |kind, value| Figure {
        kind,
        value,
        age_ms: 0,
    };
    Candidate {
        name: CandidateName::Region(region.parse().unwrap()),
        region: None,
        excluded: None,
        figures: vec![
            figure(FigureKind::WeightShare, now),
            figure(FigureKind::PlannedShare, planned),
        ],
    }
}

/// Publishes a view with these candidates; returns the codes of the resulting events.
fn codes_after(log: &mut ExplainLog, candidates: Vec<Candidate>) -> Vec<EventCode> {
    log.publish(View {
        candidates,
        ..view(WallTime::ZERO)
    });
    let changes = log.take_changes(WallTime::ZERO);
    changes.into_iter().map(|change| change.code).collect()
}

#[test]
fn verify_lost_upstreams_become_events() {
    let mut log = small_log();
    let ejected = Some(Exclusion::Ejected);
    let both = |one, other| {
        vec![
            upstream("v-1", "khomas", one),
            upstream("v-2", "oshana", other),
        ]
    };
    assert_eq!(codes_after(&mut log, both(None, None)), []);
    let failed = codes_after(&mut log, both(ejected, None));
    assert_eq!(failed, [EventCode::RegionFailed]);
    let empty = codes_after(&mut log, both(ejected, ejected));
    assert_eq!(empty, [EventCode::RegionFailed, EventCode::ServiceEmpty]);
    let back = codes_after(&mut log, both(ejected, None));
    assert_eq!(back, [EventCode::RegionRecovered, EventCode::ServiceUsable]);
    assert_eq!(codes_after(&mut log, both(ejected, None)), []);
}

#[test]
fn verify_weight_shifts_are_reported_in_steps_and_when_settled() {
    let mut log = small_log();
    let mut changes = Vec::new();
    for percent in 0..=20u8 {
        let share = f32::from(percent) / 100.0;
        let row = vec![
            weight("khomas", 1.0 - share, 0.8),
            weight("oshana", share, 0.2),
        ];
        let count = codes_after(&mut log, row).len();
        changes.extend(std::iter::repeat_n(percent, count));
    }
    assert_eq!(changes, [5, 10, 15, 20]);
    let rest = vec![weight("khomas", 0.8, 0.8), weight("oshana", 0.2, 0.2)];
    assert_eq!(codes_after(&mut log, rest), []);
}

#[test]
fn verify_spilling_is_reported_once_and_ends() {
    let mut log = small_log();
    let id = log.publish(view(WallTime::ZERO));
    for at_ms in 1_000..1_100 {
        log.record(decision(Rule::Spilled, id, at_ms, "r-1"));
    }
    let started = log.take_changes(WallTime::from_ms(2_000));
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].code, EventCode::SpillStarted);
    assert!(log.take_changes(WallTime::from_ms(11_000)).is_empty());
    let ended = log.take_changes(WallTime::from_ms(12_000));
    assert_eq!(ended[0].code, EventCode::SpillStopped);
    assert_eq!(ended[0].fields.detail, "requests=100");
    assert_eq!(ended[0].fields.service, Some("viewer".parse().unwrap()));
}
