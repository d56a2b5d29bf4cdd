//! Tests claims and the allocation of sold rates.

use foxtide_core::limits::{
    Claim,
    ClaimWindow,
    Claims,
    Connectivity,
    allocate, //
};
use foxtide_core::time::MonotonicTime;
use foxtide_core::units::RequestRate;
use proptest::prelude::*;
use std::time::Duration;

const SOLD_RPS: f64 = 100.0;
const WINDOW: Duration = Duration::from_secs(4);

fn claim(planned: f64, spilled: f64) -> Claim {
    Claim {
        planned_rps: RequestRate::clamped(planned),
        spilled_rps: RequestRate::clamped(spilled),
    }
}

/// Generates the two recent claims of an instance; a peer may know either.
fn two_claims() -> impl Strategy<Value = [Claim; 2]> {
    let one = || (0.0..150.0, 0.0..150.0).prop_map(|(planned, spilled)| claim(planned, spilled));
    [one(), one()]
}

fn minimum(claims: &[Claim; 2]) -> Claim {
    let [a, b] = claims;
    claim(
        a.planned_rps.get().min(b.planned_rps.get()),
        a.spilled_rps.get().min(b.spilled_rps.get()),
    )
}

proptest! {
    #[test]
    fn verify_allocations_never_sum_to_more_than_the_sold_rate(
        fleet in proptest::collection::vec((two_claims(), any::<u16>()), 1..12),
    ) {
        let mut total = 0.0;
        for (own, known_claims) in &fleet {
            let mut all = Claims::default();
            for (index, (claims, _)) in fleet.iter().enumerate() {
                all.add(claims[usize::from(known_claims >> index & 1)]);
            }
            total += allocate(RequestRate::clamped(SOLD_RPS), minimum(own), all).get();
        }
        prop_assert!(total <= SOLD_RPS * (1.0 + 1e-9), "{total}");
    }
}

#[test]
fn verify_spill_takes_only_what_is_left() {
    let all = Claims {
        planned_rps: 80.0,
        spilled_rps: 60.0,
    };
    let spilled = allocate(RequestRate::clamped(SOLD_RPS), claim(0.0, 60.0), all);
    assert!((spilled.get() - 20.0).abs() < 1e-9);
    let planned = allocate(RequestRate::clamped(SOLD_RPS), claim(80.0, 0.0), all);
    assert!((planned.get() - 80.0).abs() < 1e-9);
}

#[test]
fn verify_a_claim_grows_late_and_shrinks_at_once() {
    let mut window = ClaimWindow::default();
    let at = |s: u64| MonotonicTime::from_ms(s * 1_000);
    window.publish(claim(10.0, 0.0), at(0));
    window.update(WINDOW, Connectivity::Full, at(0));
    window.update(WINDOW, Connectivity::Full, at(3));
    assert_eq!(window.usable(), Claim::default());
    window.update(WINDOW, Connectivity::Full, at(4));
    let first = window.usable().planned_rps.get();
    assert!(first >= 10.0);
    window.publish(claim(40.0, 0.0), at(5));
    window.update(WINDOW, Connectivity::Full, at(8));
    assert!(window.usable().planned_rps.get() <= first);
    window.update(WINDOW, Connectivity::Full, at(9));
    assert!(window.usable().planned_rps.get() >= 40.0);
    window.publish(claim(4.0, 0.0), at(9));
    window.update(WINDOW, Connectivity::Full, at(9));
    assert!(window.usable().planned_rps.get() <= 5.0);
}

#[test]
fn verify_a_claim_does_not_grow_while_a_peer_is_silent() {
    let mut window = ClaimWindow::default();
    let at = |s: u64| MonotonicTime::from_ms(s * 1_000);
    window.publish(claim(10.0, 0.0), at(0));
    window.update(WINDOW, Connectivity::Full, at(0));
    window.update(WINDOW, Connectivity::Full, at(4));
    let before = window.usable();
    window.publish(claim(50.0, 0.0), at(5));
    window.update(WINDOW, Connectivity::Partial, at(60));
    assert_eq!(window.usable(), before);
}
