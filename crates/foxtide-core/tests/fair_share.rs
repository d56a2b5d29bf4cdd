//! Fair shares of slots: one organisation floods upstreams near capacity.

mod fair_share_model;

use fair_share_model::{
    Load,
    ORGANISATIONS,
    Outcome,
    SLOTS,
    run, //
};
use foxtide_core::admission::{
    AddressedAnswer,
    Answer,
    Coordinator,
    Ending,
    Patience,
    SlotRequest,
    Ticket, //
};
use foxtide_core::routing::RequestKind;
use foxtide_core::time::MonotonicTime;
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::time::Duration;

const USUAL: [f64; ORGANISATIONS] = [1.0; ORGANISATIONS];
const FLOOD: [f64; ORGANISATIONS] = [7.5, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0];
const ONE_IS_SMALL: [f64; ORGANISATIONS] = [1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 0.1];
const FLOOD_BESIDE_SMALL: [f64; ORGANISATIONS] = [7.5, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 0.1];

/// The most by which the share of the other organisations' requests in time may fall.
const FALL_MAX: f64 = 0.03;

fn usual_load(seed: u64, upstreams: usize) -> Load {
    Load {
        seed,
        upstreams,
        utilisation: 0.9,
        rates: USUAL,
        flood_rates: USUAL,
        is_identified: true,
        new_coordinator_at_ms: None,
    }
}

fn share_in_time(outcomes: &[Outcome]) -> f64 {
    let sent: u64 = outcomes.iter().map(|outcome| outcome.sent).sum();
    let in_time: u64 = outcomes.iter().map(|outcome| outcome.in_time).sum();
    in_time as f64 / sent as f64
}

/// Checks how much of the others' requests in time the flood of the first organisation costs.
fn check_flood(load: Load) {
    let usual = share_in_time(&run(load.clone())[1..]);
    let flooded = run(Load {
        flood_rates: FLOOD,
        ..load.clone()
    });
    let flooded = share_in_time(&flooded[1..]);
    assert!(
        flooded >= usual - FALL_MAX,
        "{usual:.3} {flooded:.3} {load:?}"
    );
}

/// A flood would take the slots that other organisations' requests need in time.
#[test]
fn verify_a_flood_at_an_upstream_costs_other_organisations_little() {
    for seed in 1..=4 {
        check_flood(usual_load(seed, 1));
    }
}

/// A flood would spill over second choices to the upstreams of other objects.
#[test]
fn verify_a_flood_at_several_upstreams_costs_other_organisations_little() {
    for seed in 1..=2 {
        check_flood(usual_load(seed, 4));
    }
}

/// A coordinator that starts anew would take the flood for the usual load.
#[test]
fn verify_a_new_coordinator_protects_others_from_a_flood() {
    for seed in 1..=2 {
        check_flood(Load {
            new_coordinator_at_ms: Some(30_000),
            ..usual_load(seed, 1)
        });
    }
}

/// Shares that hold slots back would leave them idle.
#[test]
fn verify_a_lone_organisation_uses_all_slots() {
    let mut lone = [0.0; ORGANISATIONS];
    lone[0] = 12.0;
    let load = Load {
        rates: lone,
        flood_rates: lone,
        ..usual_load(1, 1)
    };
    let outcomes = run(load.clone());
    let busy = outcomes[0].busy_us as f64 / (180e6 * SLOTS as f64);
    assert!(busy > 0.99, "{busy}");
    let unidentified = run(Load {
        is_identified: false,
        ..load
    });
    assert_eq!(outcomes, unidentified);
}

/// Few requests would always find the slots taken by those of larger organisations.
#[test]
fn verify_an_organisation_with_few_requests_is_not_starved() {
    let (mut usual, mut flooded) = (Vec::new(), Vec::new());
    for seed in 1..=2 {
        let load = Load {
            rates: ONE_IS_SMALL,
            flood_rates: ONE_IS_SMALL,
            ..usual_load(seed, 1)
        };
        usual.push(run(load.clone())[ORGANISATIONS - 1]);
        let flood_rates = FLOOD_BESIDE_SMALL;
        flooded.push(
            run(Load {
                flood_rates,
                ..load
            })[ORGANISATIONS - 1],
        );
    }
    let (usual, flooded) = (share_in_time(&usual), share_in_time(&flooded));
    assert!(flooded >= usual - FALL_MAX, "{usual:.3} {flooded:.3}");
}

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::from_ms(ms)
}

fn ticket(number: u64) -> Ticket {
    Ticket {
        requester: "127.0.0.1:7620".parse().unwrap(),
        number,
    }
}

/// A request without object of an organisation; of none if it is empty.
fn request(number: u64, organisation: &str) -> SlotRequest {
    SlotRequest {
        ticket: ticket(number),
        upstream: "i-1".parse().unwrap(),
        born_at: None,
        kind: RequestKind::default(),
        organisation: organisation.parse().ok(),
        organisation_rate: None,
        object: None,
        priority: 1,
        objective_left: Duration::from_secs(1),
        time_left: Duration::from_secs(2),
        patience: Patience::UntilDeadline,
        limit: None,
    }
}

fn granted(answers: &[AddressedAnswer]) -> Vec<u64> {
    let granted = answers
        .iter()
        .filter(|(_, answer)| *answer == Answer::Granted);
    granted.map(|(ticket, _)| ticket.number).collect()
}

/// A coordinator whose one slot the organisation `busy` used from 0 s to 2 s, and that runs
/// request 10 of it since 2 s.
fn coordinator_used_by(busy: &str) -> Coordinator {
    let mut coordinator = Coordinator::default();
    for number in 0..=10 {
        let now = at(200 * number);
        coordinator.ask(&request(number, busy), 1, now);
        if let Some(last) = number.checked_sub(1) {
            coordinator.end(ticket(last), Ending::Served, now);
        }
    }
    coordinator
}

/// A request that was passed over and comes back would be passed over again.
#[test]
fn verify_an_organisation_that_used_less_is_served_first() {
    for (busy, other) in [("a", "b"), ("a", ""), ("", "b")] {
        let mut coordinator = coordinator_used_by(busy);
        coordinator.ask(&request(20, busy), 1, at(2_000));
        coordinator.ask(&request(30, other), 1, at(2_010));
        // Newer requests of the busy organisation would go first by age.
        coordinator.ask(&request(21, busy), 1, at(2_020));
        let debt = coordinator.fair_share_debt(at(2_030));
        assert!(debt >= Duration::from_secs(2), "{debt:?}");
        let mut order = Vec::new();
        for number in [10, 20, 30, 21] {
            order.extend(granted(&coordinator.end(
                ticket(number),
                Ending::Served,
                at(2_100),
            )));
        }
        assert_eq!(order, [30, 21], "{busy} {other}");
    }
}

/// Use of long ago would count against an organisation, and be kept without bound.
#[test]
fn verify_use_before_the_window_does_not_count() {
    let mut coordinator = coordinator_used_by("a");
    coordinator.end(ticket(10), Ending::Served, at(2_200));
    for (number, organisation, ms) in [
        (20, "c", 8_000),
        (21, "c", 8_000),
        (22, "b", 8_010),
        (23, "a", 8_020),
    ] {
        coordinator.ask(&request(number, organisation), 1, at(ms));
    }
    assert_eq!(coordinator.fair_share_debt(at(8_030)), Duration::ZERO);
    let answers = coordinator.end(ticket(20), Ending::Served, at(8_100));
    assert_eq!(granted(&answers), [23]);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..Default::default() })]
    /// Orders by use would lose a request, or grant it twice.
    #[test]
    fn verify_each_request_gets_one_final_answer(
        steps in prop::collection::vec((0_u8..5, 0_u64..400, any::<bool>()), 1..200),
    ) {
        let mut coordinator = Coordinator::default();
        let (mut now_ms, mut running, mut open) = (0, Vec::new(), BTreeSet::new());
        let apply = |answers: Vec<AddressedAnswer>, running: &mut Vec<u64>, open: &mut BTreeSet<u64>| {
            for (ticket, answer) in answers {
                if answer != Answer::Waiting {
                    assert!(open.remove(&ticket.number), "{ticket} {answer:?}");
                }
                if answer == Answer::Granted {
                    running.push(ticket.number);
                }
            }
        };
        for (number, (organisation, gap_ms, is_end)) in steps.into_iter().enumerate() {
            now_ms += gap_ms;
            if is_end && !running.is_empty() {
                let ended = running.remove(gap_ms as usize % running.len());
                let answers = coordinator.end(ticket(ended), Ending::Served, at(now_ms));
                apply(answers, &mut running, &mut open);
            }
            let organisation = ["", "a", "b", "c", "d"][organisation as usize];
            open.insert(number as u64);
            let answers = coordinator.ask(&request(number as u64, organisation), 2, at(now_ms));
            apply(answers, &mut running, &mut open);
        }
        while let Some(ended) = running.pop() {
            now_ms += 50;
            let answers = coordinator.end(ticket(ended), Ending::Served, at(now_ms));
            apply(answers, &mut running, &mut open);
        }
        prop_assert!(open.is_empty(), "{open:?}");
    }
}
