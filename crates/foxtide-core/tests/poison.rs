//! Requests that end their upstreams.
//!
//! The pattern: of one kind of requests one in thirty has a content that ends the upstream
//! that begins to work on it, 0.1 s later, whichever it is. Each such end breaks all that is
//! under way there, of many other contents; what is idempotent is repeated at the object's
//! next upstream, and callers come back once. Upstreams that ended are gone.
//!
//! The figures: 12 upstreams, 10 instances and 44 requests a second of 138 objects with work
//! of 0.3 s are the kind that was struck on the smallest deployment, where it ended 29 of 48
//! upstreams in 20 s. News between instances takes 40 ms, as between regions.

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
    }
}

#[test]
fn verify_parts_of_a_content_do_not_run_into_each_other() {
    let of = |parts: &[&str]| {
        let parts: Vec<&[u8]> = parts.iter().map(|part| part.as_bytes()).collect();
        Fingerprint::new(&parts)
    };
    assert_eq!(of(&["GET", "/a"]), of(&["GET", "/a"]));
    assert_ne!(of(&["GET", "/a"]), of(&["GET/", "a"]));
    assert_ne!(of(&["GET", ""]), of(&["", "GET"]));
}

#[test]
fn verify_three_ends_quarantine_a_request_and_each_further_one_is_told() {
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
    for (number, (upstream, verdict)) in ends.into_iter().enumerate() {
        let now = at(number as u64 * 1_000);
        let report = end(1, upstream);
        assert_eq!(suspects.report(&report, now), verdict);
    }
}

#[test]
fn verify_a_request_that_is_served_in_between_begins_anew() {
    let mut suspects = Suspects::default();
    for upstream in ["a", "b", "c", "d", "e"] {
        let verdict = suspects.report(&end(2, upstream), at(0));
        assert_eq!(verdict, None, "{upstream}");
        if upstream == "b" || upstream == "d" {
            suspects.clear(Fingerprint::from_hash(2));
        }
    }
}

/// Guards against trials that are allowed since ends behind a cut are not known.
#[test]
fn verify_known_ends_can_be_reported_again() {
    let mut behind_a_cut = Suspects::default();
    for upstream in ["a", "b"] {
        behind_a_cut.report(&end(1, upstream), at(0));
    }
    let mut others = Suspects::default();
    for upstream in ["c", "d", "e"] {
        others.report(&end(1, upstream), at(0));
    }
    let again = behind_a_cut.reports(Fingerprint::from_hash(1));
    let ends = again.iter().map(|report| others.report(report, at(1)));
    let ends: Vec<Option<u32>> = ends.collect();
    assert_eq!(ends, [Some(4), Some(5)]);
}

/// The same upstream under its old name is another one once it has started again.
#[test]
fn verify_incarnations_of_an_upstream_end_one_by_one() {
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
const DEADLY_MS: u64 = 100;
const NEWS_MS: u64 = 40;
const LENGTH_MS: u64 = 20_000;

/// What ends upstreams besides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    None,
    /// Requests of one content, one in thirty.
    Deadly,
    /// A third of the upstreams at the same moment.
    ZoneLost,
    /// The same, one every 20 ms.
    ZoneLostSlowly,
    /// One upstream after the other, every 1.4 s, back after as long.
    Flap,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    request: u64,
    instance: usize,
    upstream: usize,
    ends_ms: u64,
    is_repeat: bool,
    comes_back: bool,
}

#[derive(Clone, Debug)]
enum News {
    End(EndReport),
    Cleared(Fingerprint),
    Quarantined(Fingerprint, QuarantineEntry),
}

struct World {
    draws: fastrand::Rng,
    candidates: Vec<Candidate>,
    gone_until_ms: Vec<u64>,
    running: Vec<Running>,
    reported: Vec<BTreeSet<u64>>,
    quarantine: Vec<Quarantine>,
    suspects: Suspects,
    news: BTreeMap<u64, Vec<News>>,
    returns: BTreeMap<u64, Vec<u64>>,
    /// The upstreams that ended under each request.
    ended_under: BTreeMap<u64, BTreeSet<usize>>,
    ever_held: BTreeSet<u64>,
}

/// The request that ends its upstreams.
const DEADLY: u64 = 7;

impl World {
    fn new(seed: u64) -> Self {
        let names = (0..UPSTREAMS).map(|number| format!("i-{seed}-{number}").parse().unwrap());
        Self {
            draws: fastrand::Rng::with_seed(seed),
            candidates: names
                .map(|name: UpstreamId| Candidate::new(&name, 1.0))
                .collect(),
            gone_until_ms: vec![0; UPSTREAMS],
            running: Vec::new(),
            reported: vec![BTreeSet::new(); INSTANCES],
            quarantine: vec![Quarantine::default(); INSTANCES],
            suspects: Suspects::default(),
            news: BTreeMap::new(),
            returns: BTreeMap::new(),
            ended_under: BTreeMap::new(),
            ever_held: BTreeSet::new(),
        }
    }

    fn play(mut self, trouble: Trouble) -> Self {
        for now_ms in 0..LENGTH_MS {
            self.hear(now_ms);
            self.strike(trouble, now_ms);
            self.finish(now_ms);
            if now_ms.is_multiple_of(23) {
                let is_deadly = trouble == Trouble::Deadly && self.draws.u8(..30) == 0;
                let request = if is_deadly {
                    DEADLY
                } else {
                    100 + self.draws.u64(..OBJECTS)
                };
                self.arrive(request, true, now_ms);
            }
            for request in self.returns.remove(&now_ms).unwrap_or_default() {
                self.arrive(request, false, now_ms);
            }
        }
        self
    }

    fn strike(&mut self, trouble: Trouble, now_ms: u64) {
        match trouble {
            Trouble::ZoneLost if now_ms == 5_000 => {
                for upstream in 0..UPSTREAMS / 3 {
                    self.end(upstream, u64::MAX, now_ms);
                }
            }
            Trouble::ZoneLostSlowly
                if (5_000..5_080).contains(&now_ms) && now_ms.is_multiple_of(20) =>
            {
                let upstream = (now_ms - 5_000) as usize / 20;
                self.end(upstream, u64::MAX, now_ms);
            }
            Trouble::Flap if now_ms.is_multiple_of(1_400) => {
                let upstream = self.draws.usize(..UPSTREAMS);
                self.end(upstream, now_ms + 1_400, now_ms);
            }
            _ => {}
        }
    }

    fn hear(&mut self, now_ms: u64) {
        for news in self.news.remove(&now_ms).unwrap_or_default() {
            match news {
                News::End(report) => {
                    if let Some(ends) = self.suspects.report(&report, at(now_ms)) {
                        self.ever_held.insert(report.fingerprint.hash());
                        let entry = QuarantineEntry { ends, trials: 0 };
                        self.tell(News::Quarantined(report.fingerprint, entry), now_ms);
                    }
                }
                News::Cleared(fingerprint) => self.suspects.clear(fingerprint),
                News::Quarantined(fingerprint, entry) => {
                    for quarantine in &mut self.quarantine {
                        let draw = self.draws.f64();
                        quarantine.merge(fingerprint, entry, Origin::Peer, draw, at(now_ms));
                    }
                }
            }
        }
    }

    fn tell(&mut self, news: News, now_ms: u64) {
        self.news.entry(now_ms + NEWS_MS).or_default().push(news);
    }

    fn arrive(&mut self, request: u64, comes_back: bool, now_ms: u64) {
        let instance = self.draws.usize(..INSTANCES);
        self.send(request, instance, false, comes_back, now_ms);
    }

    fn send(
        &mut self,
        request: u64,
        instance: usize,
        is_repeat: bool,
        comes_back: bool,
        now_ms: u64,
    ) {
        let fingerprint = Fingerprint::from_hash(request);
        let status = self.quarantine[instance].status(fingerprint, at(now_ms));
        if status != QuarantineStatus::NotQuarantined {
            return;
        }
        let order = rank(ObjectKey::new(&request.to_le_bytes()), &self.candidates);
        let alive = |upstream: &usize| self.gone_until_ms[*upstream] <= now_ms;
        let Some(upstream) = order.into_iter().find(alive) else {
            return;
        };
        let work_ms = if request == DEADLY {
            DEADLY_MS
        } else {
            WORK_MS
        };
        self.running.push(Running {
            request,
            instance,
            upstream,
            ends_ms: now_ms + work_ms,
            is_repeat,
            comes_back,
        });
    }

    fn finish(&mut self, now_ms: u64) {
        let is_due = |running: &mut Running| running.ends_ms <= now_ms;
        let due: Vec<Running> = self.running.extract_if(.., is_due).collect();
        for running in due {
            if running.request == DEADLY {
                self.running.push(running);
                self.end(running.upstream, u64::MAX, now_ms);
            } else if self.reported[running.instance].remove(&running.request) {
                let fingerprint = Fingerprint::from_hash(running.request);
                self.tell(News::Cleared(fingerprint), now_ms);
            }
        }
    }

    /// An upstream ends, and breaks what is under way there.
    fn end(&mut self, upstream: usize, until_ms: u64, now_ms: u64) {
        self.gone_until_ms[upstream] = until_ms;
        let is_there = |running: &mut Running| running.upstream == upstream;
        let broken: Vec<Running> = self.running.extract_if(.., is_there).collect();
        for victim in &broken {
            let fingerprint = Fingerprint::from_hash(victim.request);
            let name: UpstreamId = format!("i-{upstream}-{until_ms}").parse().unwrap();
            self.reported[victim.instance].insert(victim.request);
            self.ended_under
                .entry(victim.request)
                .or_default()
                .insert(upstream);
            let report = EndReport {
                fingerprint,
                upstream: name,
                born_at: None,
            };
            self.tell(News::End(report), now_ms);
        }
        for victim in broken {
            if !victim.is_repeat {
                self.send(
                    victim.request,
                    victim.instance,
                    true,
                    victim.comes_back,
                    now_ms,
                );
            } else if victim.comes_back {
                let back_ms = now_ms + 50;
                self.returns
                    .entry(back_ms)
                    .or_default()
                    .push(victim.request);
            }
        }
    }
}

const SEEDS: u64 = 200;

#[test]
fn verify_a_deadly_request_ends_at_most_four_upstreams() {
    let mut innocent = 0;
    for seed in 0..SEEDS {
        let world = World::new(seed).play(Trouble::Deadly);
        let ended = world.ended_under.get(&DEADLY).map_or(0, BTreeSet::len);
        assert!(ended <= 4, "seed {seed}: {ended}");
        assert!(
            ended < 2 || world.ever_held.contains(&DEADLY),
            "seed {seed}"
        );
        innocent += world.ever_held.len() - usize::from(world.ever_held.contains(&DEADLY));
    }
    // Of 138 other contents a play; one in five hundred may be taken for guilty.
    let share = innocent as f64 / (SEEDS * OBJECTS) as f64;
    assert!(share <= 0.002, "{share}");
}

#[test]
fn verify_other_ends_hold_nothing_back() {
    let troubles = [
        Trouble::None,
        Trouble::ZoneLost,
        Trouble::ZoneLostSlowly,
        Trouble::Flap,
    ];
    for trouble in troubles {
        let mut innocent = 0;
        for seed in 0..SEEDS {
            innocent += World::new(seed).play(trouble).ever_held.len();
        }
        let share = innocent as f64 / (SEEDS * OBJECTS) as f64;
        assert!(share <= 0.000_5, "{trouble:?}: {share}");
    }
}
