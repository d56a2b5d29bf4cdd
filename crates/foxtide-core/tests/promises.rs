//! Tests the monitor of contract promises.

use foxtide_core::ids::{
    RegionId,
    ServiceId, //
};
use foxtide_core::organisation::Organisation;
use foxtide_core::promises::{
    PromiseKind,
    PromiseMonitor,
    RegionSample,
    Sample,
    ServiceSample, //
};
use foxtide_core::time::MonotonicTime;
use foxtide_core::units::{
    RequestRate,
    Share, //
};

const DOCUMENT: &str = r#"{
  "schema_version": 1, "organisation": "o", "revision": 1, "change_id": "c",
  "regions": [
    {"region": "r1", "availability_zones": ["r1-a"], "sold_rate_rps": 100},
    {"region": "r2", "availability_zones": ["r2-a"], "sold_rate_rps": 100}
  ],
  "links": [],
  "services": [{
    "service": "s",
    "contract": {
      "homes": [{"region": "r1", "share": 0.5}, {"region": "r2", "share": 0.5}],
      "spill_limit_share": 0.2, "shift_cap_share_per_s": 0.02, "drain_window_s": 30,
      "deadline_ms": 1000, "priority": "latency", "idempotent_methods": ["GET"]
    },
    "upstreams": []
  }]
}"#;

struct Measurement {
    second: u64,
    share_of_r2: f64,
    sent: u64,
    spilled: u64,
    rejected: u64,
}

fn sample(measurement: &Measurement) -> Sample {
    let (r1, r2): (RegionId, RegionId) = ("r1".parse().unwrap(), "r2".parse().unwrap());
    let row = [
        (r1.clone(), Share::clamped(1.0 - measurement.share_of_r2)),
        (r2, Share::clamped(measurement.share_of_r2)),
    ];
    let service = ServiceSample {
        row: row.into(),
        sent_planned: measurement.sent - measurement.spilled,
        sent_spilled: measurement.spilled,
        rejected: measurement.rejected,
    };
    let region = RegionSample {
        allowed_rps: RequestRate::clamped(10.0),
        sent: measurement.sent,
    };
    let id: ServiceId = "s".parse().unwrap();
    Sample {
        taken_at: MonotonicTime::from_ms(measurement.second * 1_000),
        services: [(id, service)].into(),
        regions: [(r1, region)].into(),
    }
}

fn broken_after(samples: &[Measurement]) -> Vec<PromiseKind> {
    let organisation: Organisation = serde_json::from_str(DOCUMENT).unwrap();
    let mut monitor = PromiseMonitor::default();
    for measurement in samples {
        monitor.add(&organisation, sample(measurement));
    }
    let promises = monitor.promises();
    assert!(!promises.is_empty(), "nothing was measured");
    let broken = promises.into_iter().filter(|promise| !promise.held);
    broken.map(|promise| promise.promise).collect()
}

fn steady(second: u64) -> Measurement {
    Measurement {
        second,
        share_of_r2: 0.0,
        sent: second * 10,
        spilled: 0,
        rejected: 0,
    }
}

#[test]
fn verify_steady_traffic_keeps_every_promise() {
    let samples: Vec<Measurement> = (0..30).map(steady).collect();
    assert_eq!(broken_after(&samples), []);
}

#[test]
fn verify_a_shift_at_the_cap_is_kept_and_above_it_is_broken() {
    let shifted = |pace: f64| -> Vec<Measurement> {
        let measurement = |second| Measurement {
            share_of_r2: pace * second as f64,
            ..steady(second)
        };
        (0..20).map(measurement).collect()
    };
    assert_eq!(broken_after(&shifted(0.02)), []);
    assert_eq!(broken_after(&shifted(0.03)), [PromiseKind::ShiftCap]);
}

#[test]
fn verify_excess_spill_is_reported_after_it_ended() {
    let spilling = |second: u64| Measurement {
        spilled: (second * 3).min(45),
        ..steady(second)
    };
    let samples: Vec<Measurement> = (0..60).map(spilling).collect();
    assert_eq!(broken_after(&samples), [PromiseKind::SpillLimit]);
}

/// Guards against a limit on the requests that is compared with those alone that were sent.
#[test]
fn verify_the_spilled_share_is_of_all_requests() {
    let spilling = |rejected: u64| -> Vec<Measurement> {
        let measurement = |second| Measurement {
            spilled: second * 3,
            rejected: second * rejected,
            ..steady(second)
        };
        (0..20).map(measurement).collect()
    };
    assert_eq!(broken_after(&spilling(4)), [PromiseKind::SpillLimit]);
    assert_eq!(broken_after(&spilling(5)), []);
}

/// Guards against a spilled share that breaks the limit only since fewer requests follow: after
/// second 10 five arrive each second, of which some spill, and after second 14 none.
#[test]
fn verify_requests_that_cease_raise_no_spilled_share() {
    let ceasing = |spilled_per_s: u64, sent_per_s: u64| -> Vec<Measurement> {
        let measurement = |second: u64| {
            let late_s = second.clamp(10, 14) - 10;
            Measurement {
                sent: second.min(10) * sent_per_s + late_s * 5,
                spilled: late_s * spilled_per_s,
                ..steady(second)
            }
        };
        (0..29).map(measurement).collect()
    };
    assert_eq!(broken_after(&ceasing(4, 10)), []);
    assert_eq!(broken_after(&ceasing(5, 10)), [PromiseKind::SpillLimit]);
}

#[test]
fn verify_sending_above_the_allowed_rate_is_reported() {
    let fast = |second: u64| Measurement {
        sent: second * 12,
        ..steady(second)
    };
    let samples: Vec<Measurement> = (0..20).map(fast).collect();
    assert_eq!(broken_after(&samples), [PromiseKind::SoldRate]);
}
