//! The event catalogue, the hybrid clock, the ring and the merged time line.

use foxtide_core::events::{
    DETAIL_MAX_BYTES,
    Event,
    EventCode,
    EventFields,
    EventFilter,
    EventRing,
    EventRingOptions,
    HybridClock,
    HybridTime,
    Level,
    catalogue_page,
    merge, //
};
use foxtide_core::time::WallTime;
use proptest::prelude::*;
use std::collections::HashSet;

const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/EVENTS.md");

fn event(instance: &str, clock: HybridTime, code: EventCode) -> Event {
    let fields = EventFields::detail("because");
    Event::new(clock, instance.parse().unwrap(), code, fields)
}

#[test]
fn verify_page_matches_the_code() {
    let page = std::fs::read_to_string(PAGE).unwrap();
    assert!(
        page == catalogue_page(),
        "docs/EVENTS.md is stale: cargo run -p foxtide-core --example events_page > docs/EVENTS.md"
    );
}

#[test]
fn verify_codes_are_unique_and_in_range() {
    let numbers: Vec<u16> = EventCode::ALL.iter().map(|c| c.number()).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b));
    assert!(numbers.iter().all(|n| (1_000..9_000).contains(n)));
    let names: HashSet<_> = EventCode::ALL.iter().map(|c| c.name()).collect();
    assert_eq!(names.len(), EventCode::ALL.len());
}

#[test]
fn verify_codes_round_trip() {
    for code in EventCode::ALL {
        let json = serde_json::to_string(code).unwrap();
        assert_eq!(serde_json::from_str::<EventCode>(&json).unwrap(), *code);
        assert_eq!(code.name().parse::<EventCode>().unwrap(), *code);
    }
    assert!("F9999".parse::<EventCode>().is_err());
}

#[test]
fn verify_event_reads_as_log_line_and_json() {
    let clock = HybridClock::default().tick(WallTime::from_ms(1));
    let mut ejected = event("k-1", clock, EventCode::UpstreamEjected);
    ejected.fields.organisation = Some("hamutenya".parse().unwrap());
    let line = "F5003 upstream-ejected organisation=hamutenya because";
    assert_eq!(ejected.to_string(), line);
    let json = serde_json::to_string(&ejected).unwrap();
    assert_eq!(serde_json::from_str::<Event>(&json).unwrap(), ejected);
}

#[test]
fn verify_long_details_are_truncated_between_characters() {
    let fields = EventFields::detail("ä".repeat(DETAIL_MAX_BYTES) + "x");
    let clock = HybridTime::default();
    let event = Event::new(
        clock,
        "k-1".parse().unwrap(),
        EventCode::MoveStarted,
        fields,
    );
    assert_eq!(event.fields.detail.len(), DETAIL_MAX_BYTES);
}

#[test]
fn verify_clock_is_monotonic_when_the_wall_clock_goes_back() {
    let mut clock = HybridClock::default();
    let before = clock.tick(WallTime::from_ms(1_000));
    let after = clock.tick(WallTime::from_ms(10));
    assert!(after > before);
}

#[test]
fn verify_timestamps_far_ahead_are_ignored() {
    let mut fast = HybridClock::default();
    let mut local = HybridClock::default();
    let wall = WallTime::from_ms(10_000);
    let sent = fast.tick(WallTime::from_ms(60_000));
    assert!(sent.is_ahead(wall));
    assert_eq!(local.observe(sent, wall).wall_us, wall);
}

#[test]
fn verify_counter_overflow_advances_the_time() {
    let full = HybridTime {
        wall_us: WallTime::from_us(7),
        counter: u32::MAX,
    };
    let mut clock = HybridClock::default();
    assert!(clock.observe(full, WallTime::ZERO) > full);
}

#[test]
fn verify_debug_events_do_not_evict_notable_events() {
    let mut ring = EventRing::new(EventRingOptions {
        notable: 2,
        debug: 3,
    });
    let mut clock = HybridClock::default();
    let mut push = |code| ring.push(event("k-1", clock.tick(WallTime::ZERO), code));
    push(EventCode::UpstreamEjected);
    for _ in 0..100 {
        push(EventCode::RequestTimedOut);
    }
    let selected = ring.select(&EventFilter::default());
    assert_eq!(selected.len(), 4);
    assert_eq!(selected[0].code, EventCode::UpstreamEjected);
    assert_eq!((ring.recorded(), ring.dropped()), (101, 97));
    assert_eq!(ring.notable_after(0, 10).len(), 1);
    assert_eq!(ring.notable_after(1, 10).len(), 0);
}

#[test]
fn verify_filter_selects_by_level_and_limit() {
    let mut ring = EventRing::default();
    let mut clock = HybridClock::default();
    for code in EventCode::ALL {
        ring.push(event("k-1", clock.tick(WallTime::ZERO), *code));
    }
    let filter = EventFilter {
        level: Some(Level::Error),
        limit: Some(2),
        ..EventFilter::default()
    };
    let errors = ring.select(&filter);
    assert_eq!(errors.len(), 2);
    assert_eq!(errors[1].code, EventCode::PromiseBroken);
}

#[test]
fn verify_filter_parses_query_parameters() {
    let mut filter = EventFilter::default();
    for (name, text) in [
        ("level", "warn"),
        ("code", "F5003"),
        ("limit", "7"),
        ("x", "y"),
    ] {
        filter.set(name, text).unwrap();
    }
    assert_eq!(filter.level, Some(Level::Warn));
    assert_eq!(filter.code, Some(EventCode::UpstreamEjected));
    assert_eq!(filter.limit, Some(7));
    assert!(filter.set("limit", "many").is_err());
    assert!(filter.set("region", "No Name").is_err());
}

proptest! {
    /// Receipts follow their sends in the merged time line despite clock skew.
    #[test]
    fn verify_merge_keeps_causal_order(
        steps in prop::collection::vec((0usize..4, 0usize..4, 0u64..50), 1..60),
        skews_ms in prop::array::uniform4(0u64..500),
    ) {
        let mut clocks: [HybridClock; 4] = Default::default();
        let mut lines: [Vec<Event>; 4] = Default::default();
        let mut arrivals = Vec::new();
        let mut real_ms = 1_000;
        for (from, to, pause_ms) in steps {
            real_ms += pause_ms;
            let wall = |process: usize| WallTime::from_ms(real_ms + skews_ms[process]);
            let sent = clocks[from].tick(wall(from));
            lines[from].push(event(&format!("k-{from}"), sent, EventCode::MemberLeaving));
            let arrived = clocks[to].observe(sent, wall(to));
            lines[to].push(event(&format!("k-{to}"), arrived, EventCode::MemberJoined));
            arrivals.push((sent, arrived));
        }
        let total: usize = lines.iter().map(Vec::len).sum();
        let copies = lines[0].clone();
        let merged = merge(lines.into_iter().chain([copies]));
        prop_assert_eq!(merged.len(), total);
        let position = |clock| merged.iter().position(|e| e.clock == clock);
        for (sent, arrived) in arrivals {
            prop_assert!(sent < arrived);
            prop_assert!(position(sent) < position(arrived));
        }
    }
}
