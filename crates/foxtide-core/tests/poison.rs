//! Tests of the evidence against poison requests: they must be quarantined after a few ends,
//! and unrelated ends of upstreams must quarantine almost no other requests.

use foxtide_core::ids::UpstreamId;
use foxtide_core::placement::{
    Candidate,
    ObjectKey,
    rank, //
};
use foxtide_core::poison::{
    EndReport,
    Fingerprint,
    Origin,
    Quarantine,
    QuarantineEntry,
    QuarantineStatus,
    Suspects, //
};
use foxtide_core::time::{
    MonotonicTime,
    WallTime, //
};
use std::collections::{
    BTreeMap,
    BTreeSet, //
};

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::from_ms(ms)
}

fn end(request: u64, upstream: &str) -> EndReport {
    EndReport {
        fingerprint: Fingerprint::from_hash(request),
        upstream: upstream.parse().unwrap(),
        born_at: None,
        is_isolated: false,
    }
}

#[test]
fn verify_fingerprint_parts_are_delimited() {
    let fingerprint = |parts: &[&str]| {
        let parts: Vec<&[u8]> = parts.iter().map(|part| part.as_bytes()).collect();
        Fingerprint::new(&parts)
    };
    assert_eq!(fingerprint(&["GET", "/a"]), fingerprint(&["GET", "/a"]));
    assert_ne!(fingerprint(&["GET", "/a"]), fingerprint(&["GET/", "a"]));
    assert_ne!(fingerprint(&["GET", ""]), fingerprint(&["", "GET"]));
}

#[test]
fn verify_three_ends_quarantine_a_request_and_further_ends_are_returned() {
    let mut suspects = Suspects::default();
    let ends = [
        ("a", None),
        // Another instance reports the same end.
        ("a", None),
        ("b", None),
        ("c", Some(3)),
        ("c", None),
        ("d", Some(4)),
    ];
    for (number, (upstream, expected)) in ends.into_iter().enumerate() {
        let now = at(number as u64 * 1_000);
        let report = end(1, upstream);
        assert_eq!(suspects.report(&report, now), expected);
    }
}

#[test]
fn verify_a_served_request_resets_its_ends() {
    let mut suspects = Suspects::default();
    for upstream in ["a", "b", "c", "d", "e"] {
        let verdict = suspects.report(&end(2, upstream), at(0));
        assert_eq!(verdict, None, "{upstream}");
        if upstream == "b" || upstream == "d" {
            suspects.clear(Fingerprint::from_hash(2));
        }
    }
}

/// Guards against extra trials where ends seen during a partition are not reported later.
#[test]
fn verify_known_ends_can_be_reported_again() {
    let mut partitioned = Suspects::default();
    for upstream in ["a", "b"] {
        partitioned.report(&end(1, upstream), at(0));
    }
    let mut others = Suspects::default();
    for upstream in ["c", "d", "e"] {
        others.report(&end(1, upstream), at(0));
    }
    let reports = partitioned.reports(Fingerprint::from_hash(1));
    let ends = reports.iter().map(|report| others.report(report, at(1)));
    let ends: Vec<Option<u32>> = ends.collect();
    assert_eq!(ends, [Some(4), Some(5)]);
}

/// Guards against ends of a restarted upstream being taken for reports of the same end.
#[test]
fn verify_incarnations_of_an_upstream_count_separately() {
    let mut suspects = Suspects::default();
    let verdicts = [1, 2, 3].map(|born_ms| {
        let report = EndReport {
            born_at: Some(WallTime::from_ms(born_ms)),
            ..end(1, "a")
        };
        suspects.report(&report, at(born_ms))
    });
    assert_eq!(verdicts, [None, None, Some(3)]);
}

const INSTANCES: usize = 10;
const UPSTREAMS: usize = 12;
const OBJECTS: u64 = 138;
const WORK_MS: u64 = 300;
const POISON_WORK_MS: u64 = 100;
const MESSAGE_DELAY_MS: u64 = 40;
const DURATION_MS: u64 = 20_000;

/// The cause of upstream ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// One in thirty requests is the poison request.
    Poison,
    /// A third of the upstreams at the same moment.
    ZoneLost,
    /// A third of the upstreams, one every 20 ms.
    ZoneLostGradually,
    /// One upstream every 1.4 s, restarted after 1.4 s.
    Flap,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    request: u64,
    instance: usize,
    upstream: usize,
    ends_ms: u64,
    is_retry: bool,
    retries: bool,
}

#[derive(Clone, Debug)]
enum Message {
    End(EndReport),
    Cleared(Fingerprint),
    Quarantined(Fingerprint, QuarantineEntry),
}

struct Simulation {
    rng: fastrand::Rng,
    candidates: Vec<Candidate>,
    down_until_ms: Vec<u64>,
    running: Vec<Running>,
    reported: Vec<BTreeSet<u64>>,
    quarantine: Vec<Quarantine>,
    suspects: Suspects,
    messages: BTreeMap<u64, Vec<Message>>,
    caller_retries: BTreeMap<u64, Vec<u64>>,
    ended_under: BTreeMap<u64, BTreeSet<usize>>,
    ever_quarantined: BTreeSet<u64>,
}

/// The request that ends every upstream it is sent to.
const POISON: u64 = 7;

impl Simulation {
    fn new(seed: u64) -> Self {
        let names = (0..UPSTREAMS).map(|number| format!("i-{seed}-{number}").parse().unwrap());
        Self {
            rng: fastrand::Rng::with_seed(seed),
            candidates: names
                .map(|name: UpstreamId| Candidate::new(&name, 1.0))
                .collect(),
            down_until_ms: vec![0; UPSTREAMS],
            running: Vec::new(),
            reported: vec![BTreeSet::new(); INSTANCES],
            quarantine: vec![Quarantine::default(); INSTANCES],
            suspects: Suspects::default(),
            messages: BTreeMap::new(),
            caller_retries: BTreeMap::new(),
            ended_under: BTreeMap::new(),
            ever_quarantined: BTreeSet::new(),
        }
    }

    fn run(mut self, fault: Fault) -> Self {
        for now_ms in 0..DURATION_MS {
            self.deliver_messages(now_ms);
            self.inject_fault(fault, now_ms);
            self.finish(now_ms);
            if now_ms.is_multiple_of(23) {
                let is_poison = fault == Fault::Poison && self.rng.u8(..30) == 0;
                let request = if is_poison {
                    POISON
                } else {
                    100 + self.rng.u64(..OBJECTS)
                };
                self.arrive(request, true, now_ms);
            }
            for request in self.caller_retries.remove(&now_ms).unwrap_or_default() {
                self.arrive(request, false, now_ms);
            }
        }
        self
    }

    fn inject_fault(&mut self, fault: Fault, now_ms: u64) {
        match fault {
            Fault::ZoneLost if now_ms == 5_000 => {
                for upstream in 0..UPSTREAMS / 3 {
                    self.end(upstream, u64::MAX, now_ms);
                }
            }
            Fault::ZoneLostGradually
                if (5_000..5_080).contains(&now_ms) && now_ms.is_multiple_of(20) =>
            {
                let upstream = (now_ms - 5_000) as usize / 20;
                self.end(upstream, u64::MAX, now_ms);
            }
            Fault::Flap if now_ms.is_multiple_of(1_400) => {
                let upstream = self.rng.usize(..UPSTREAMS);
                self.end(upstream, now_ms + 1_400, now_ms);
            }
            _ => {}
        }
    }

    fn deliver_messages(&mut self, now_ms: u64) {
        for message in self.messages.remove(&now_ms).unwrap_or_default() {
            match message {
                Message::End(report) => {
                    if let Some(ends) = self.suspects.report(&report, at(now_ms)) {
                        self.ever_quarantined.insert(report.fingerprint.hash());
                        let entry = QuarantineEntry { ends, trials: 0 };
                        self.send_message(Message::Quarantined(report.fingerprint, entry), now_ms);
                    }
                }
                Message::Cleared(fingerprint) => self.suspects.clear(fingerprint),
                Message::Quarantined(fingerprint, entry) => {
                    for quarantine in &mut self.quarantine {
                        let draw = self.rng.f64();
                        quarantine.merge(fingerprint, entry, Origin::Peer, draw, at(now_ms));
                    }
                }
            }
        }
    }

    fn send_message(&mut self, message: Message, now_ms: u64) {
        self.messages
            .entry(now_ms + MESSAGE_DELAY_MS)
            .or_default()
            .push(message);
    }

    fn arrive(&mut self, request: u64, retries: bool, now_ms: u64) {
        let instance = self.rng.usize(..INSTANCES);
        self.send(request, instance, false, retries, now_ms);
    }

    fn send(&mut self, request: u64, instance: usize, is_retry: bool, retries: bool, now_ms: u64) {
        let fingerprint = Fingerprint::from_hash(request);
        let status = self.quarantine[instance].status(fingerprint, at(now_ms));
        if status != QuarantineStatus::NotQuarantined {
            return;
        }
        let order = rank(ObjectKey::new(&request.to_le_bytes()), &self.candidates);
        let alive = |upstream: &usize| self.down_until_ms[*upstream] <= now_ms;
        let Some(upstream) = order.into_iter().find(alive) else {
            return;
        };
        let work_ms = if request == POISON {
            POISON_WORK_MS
        } else {
            WORK_MS
        };
        self.running.push(Running {
            request,
            instance,
            upstream,
            ends_ms: now_ms + work_ms,
            is_retry,
            retries,
        });
    }

    fn finish(&mut self, now_ms: u64) {
        let is_due = |running: &mut Running| running.ends_ms <= now_ms;
        let due: Vec<Running> = self.running.extract_if(.., is_due).collect();
        for running in due {
            if running.request == POISON {
                self.running.push(running);
                self.end(running.upstream, u64::MAX, now_ms);
            } else if self.reported[running.instance].remove(&running.request) {
                let fingerprint = Fingerprint::from_hash(running.request);
                self.send_message(Message::Cleared(fingerprint), now_ms);
            }
        }
    }

    /// Ends an upstream and breaks its running requests.
    fn end(&mut self, upstream: usize, until_ms: u64, now_ms: u64) {
        self.down_until_ms[upstream] = until_ms;
        let is_there = |running: &mut Running| running.upstream == upstream;
        let broken: Vec<Running> = self.running.extract_if(.., is_there).collect();
        for attempt in &broken {
            let fingerprint = Fingerprint::from_hash(attempt.request);
            let name: UpstreamId = format!("i-{upstream}-{until_ms}").parse().unwrap();
            self.reported[attempt.instance].insert(attempt.request);
            self.ended_under
                .entry(attempt.request)
                .or_default()
                .insert(upstream);
            let report = EndReport {
                fingerprint,
                upstream: name,
                born_at: None,
                is_isolated: false,
            };
            self.send_message(Message::End(report), now_ms);
        }
        for attempt in broken {
            if !attempt.is_retry {
                self.send(
                    attempt.request,
                    attempt.instance,
                    true,
                    attempt.retries,
                    now_ms,
                );
            } else if attempt.retries {
                let retry_at_ms = now_ms + 50;
                self.caller_retries
                    .entry(retry_at_ms)
                    .or_default()
                    .push(attempt.request);
            }
        }
    }
}

const SEEDS: u64 = 200;

#[test]
fn verify_a_poison_request_ends_at_most_four_upstreams() {
    let mut falsely_quarantined = 0;
    for seed in 0..SEEDS {
        let simulation = Simulation::new(seed).run(Fault::Poison);
        let ended = simulation.ended_under.get(&POISON).map_or(0, BTreeSet::len);
        assert!(ended <= 4, "seed {seed}: {ended}");
        assert!(
            ended < 2 || simulation.ever_quarantined.contains(&POISON),
            "seed {seed}"
        );
        falsely_quarantined += simulation.ever_quarantined.len()
            - usize::from(simulation.ever_quarantined.contains(&POISON));
    }
    // At most one in five hundred other requests may be quarantined.
    let share = falsely_quarantined as f64 / (SEEDS * OBJECTS) as f64;
    assert!(share <= 0.002, "{share}");
}

#[test]
fn verify_unrelated_ends_quarantine_few_requests() {
    let faults = [
        Fault::None,
        Fault::ZoneLost,
        Fault::ZoneLostGradually,
        Fault::Flap,
    ];
    for fault in faults {
        let mut falsely_quarantined = 0;
        for seed in 0..SEEDS {
            falsely_quarantined += Simulation::new(seed).run(fault).ever_quarantined.len();
        }
        let share = falsely_quarantined as f64 / (SEEDS * OBJECTS) as f64;
        assert!(share <= 0.000_5, "{fault:?}: {share}");
    }
}
