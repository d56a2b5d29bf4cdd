//! Runs all scripts in `scenarios/` and checks that they detect broken rules.

use foxtide_testing::scenario::{
    BrokenRule,
    Promise,
    ScenarioOptions,
    ScenarioRunner,
    TraceError,
    Verdict, //
};
use std::fs;
use std::path::{
    Path,
    PathBuf, //
};
use std::thread;

fn script_path(name: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    root.join(name)
}

fn script_paths(directory: &str) -> Vec<PathBuf> {
    let entries = fs::read_dir(script_path(directory)).unwrap();
    let mut paths: Vec<PathBuf> = entries.map(|entry| entry.unwrap().path()).collect();
    paths.sort();
    paths
}

/// Runs all scripts of a directory in parallel and reports those that fail.
fn run_all(directory: &str) {
    let run = |path: PathBuf| {
        let mut runner = ScenarioRunner::new(ScenarioOptions::default());
        goldenscript::run(&mut runner, &path)
    };
    let scripts = script_paths(directory);
    let started = scripts.iter().cloned();
    let threads: Vec<_> = started
        .map(|path| thread::spawn(move || run(path)))
        .collect();
    let mut failed = Vec::new();
    for (path, thread) in scripts.iter().zip(threads) {
        match thread.join() {
            Ok(Ok(())) => {}
            Ok(Err(error)) => failed.push(format!("{}: {error}", path.display())),
            Err(_) => failed.push(format!("{}: panicked, see above", path.display())),
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// Runs a script up to its first failed assertion.
fn run_script(name: &str, options: ScenarioOptions) -> ScenarioRunner {
    let mut runner = ScenarioRunner::new(options);
    let text = fs::read_to_string(script_path(name)).unwrap();
    // The check of the promises follows, so a failed assertion is not an error here.
    goldenscript::generate(&mut runner, &text).ok();
    runner
}

fn violation(runner: &ScenarioRunner, promise: Promise) -> Option<String> {
    let verdicts = runner.verdicts();
    let (_, verdict) = verdicts.into_iter().find(|(known, _)| *known == promise)?;
    match verdict {
        Verdict::Broken { violation } => Some(violation),
        Verdict::Kept | Verdict::Untested => None,
    }
}

/// Asserts that the script breaks the promise if, and only if, the rule is broken.
fn assert_detected(rule: BrokenRule, name: &str, promise: Promise) {
    let options = ScenarioOptions {
        broken_rule: Some(rule),
        ..Default::default()
    };
    let detected = violation(&run_script(name, options), promise);
    assert!(
        detected.is_some(),
        "breaking {rule:?} does not break {promise} in {name}"
    );
    let unbroken = run_script(name, ScenarioOptions::default());
    assert_eq!(violation(&unbroken, promise), None, "{name}");
}

#[test]
fn verify_single_failures() {
    run_all("alone");
}

#[test]
fn verify_pairs_of_failures() {
    run_all("pairs");
}

#[test]
fn verify_a_broken_shift_cap_is_detected() {
    let name = "alone/region_fails";
    assert_detected(BrokenRule::ShiftCap, name, Promise::ShiftCap);
}

#[test]
fn verify_broken_limits_are_detected() {
    let name = "alone/spill_is_limited";
    assert_detected(BrokenRule::SpillLimit, name, Promise::SpillLimit);
    assert_detected(BrokenRule::SoldRate, name, Promise::RegionLimit);
}

#[test]
fn verify_a_duplicate_write_is_detected() {
    let name = "alone/answers_lost";
    assert_detected(BrokenRule::NonIdempotentRetry, name, Promise::AtMostOnce);
    assert_detected(BrokenRule::ForgottenKey, name, Promise::AtMostOnce);
}

#[test]
fn verify_an_ignored_drain_is_detected() {
    let name = "alone/upstream_drains";
    assert_detected(BrokenRule::Drain, name, Promise::LeavingGetsNothing);
}

#[test]
fn verify_a_reverted_configuration_is_detected() {
    let name = "pairs/late_answer_and_newer_change";
    assert_detected(BrokenRule::Revision, name, Promise::NeverReverts);
}

#[test]
fn verify_a_run_depends_on_its_seed_alone() {
    let name = "alone/instance_dies";
    let trace = |seed| {
        let options = ScenarioOptions {
            seed,
            ..Default::default()
        };
        let trace = run_script(name, options).trace().unwrap();
        // The first line is the initial configuration, which does not depend on the seed.
        trace.split_once('\n').unwrap().1.to_owned()
    };
    assert_eq!(trace(7), trace(7));
}

#[test]
fn verify_a_recorded_run_replays_to_the_same_verdicts() {
    for name in ["alone/answers_lost", "pairs/lost_answer_and_two_operators"] {
        let mut runner = run_script(name, ScenarioOptions::default());
        let trace = runner.trace().unwrap();
        let replayed = ScenarioRunner::replay(&trace, ScenarioOptions::default()).unwrap();
        assert_eq!(replayed.verdicts(), runner.verdicts(), "{name}");
    }
}

#[test]
fn verify_recorded_traces_replay() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        let trace = fs::read_to_string(&path).unwrap();
        let replayed = ScenarioRunner::replay(&trace, ScenarioOptions::default());
        assert!(replayed.is_ok(), "{}: {:?}", path.display(), replayed.err());
    }
}

#[test]
fn verify_a_wrong_outcome_in_a_trace_is_detected() {
    let path = "../traces/unlocks_lost_and_owner_killed.jsonl";
    let trace = fs::read_to_string(script_path(path)).unwrap();
    let falsified = trace.replace("\"ends\":\"done\"", "\"ends\":\"not-run\"");
    let replayed = ScenarioRunner::replay(&falsified, ScenarioOptions::default());
    assert!(matches!(replayed, Err(TraceError::Outcomes { .. })));
}
