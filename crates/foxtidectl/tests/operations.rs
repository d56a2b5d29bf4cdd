//! Commands of an operator's day, with two operators and a store that fails.

#[allow(dead_code)]
mod support;

use foxtide_testing::Availability;
use foxtidectl::ExitStatus;
use support::{
    KEY,
    Operator,
    Outcome,
    example,
    run,
    swallow_after, //
};

fn done(outcome: Outcome) -> String {
    assert_eq!(outcome.status, ExitStatus::Done, "{outcome:?}");
    outcome.output
}

/// Sets a deadline of the first service.
fn set_deadline(operator: &Operator, options: &[&str], deadline: &str) -> Outcome {
    let template = example("hamutenya/template.jsonc");
    let setting = format!("viewer_deadline_ms={deadline}");
    let mut arguments = options.to_vec();
    arguments.extend([
        "organisation",
        "edit",
        "hamutenya",
        "--template",
        &template,
        "--set",
        &setting,
    ]);
    operator.run(&arguments)
}

#[test]
fn verify_a_change_is_shown_before_it_is_written() {
    let operator = Operator::with_example();
    let before = operator.server.value(KEY);
    let output = done(set_deadline(&operator, &[], "900ms"));
    assert!(
        output.contains("~ services[viewer].contract.deadline_ms: 2000 -> 900"),
        "{output}"
    );
    assert!(
        output.contains("Not written. Add --yes --revision r1"),
        "{output}"
    );
    assert_eq!(operator.server.value(KEY), before);
    done(set_deadline(
        &operator,
        &["--yes", "--revision", "r1"],
        "900ms",
    ));
    assert_eq!(
        operator.stored()["services"][0]["contract"]["deadline_ms"],
        900
    );
}

#[test]
fn verify_a_stale_operator_sees_what_was_changed_meanwhile() {
    let operator = Operator::with_example();
    done(set_deadline(&operator, &["--yes"], "900"));
    let outcome = set_deadline(&operator, &["--yes", "--revision", "r1"], "800");
    assert_eq!(outcome.status, ExitStatus::Conflict);
    assert!(
        outcome
            .errors
            .contains("r2 ndapewa: set viewer_deadline_ms=900"),
        "{outcome:?}"
    );
    assert_eq!(
        operator.stored()["services"][0]["contract"]["deadline_ms"],
        900
    );
}

#[test]
fn verify_drains_can_be_started_twice_and_taken_back() {
    let operator = Operator::with_example();
    let start = [
        "--yes",
        "drain",
        "start",
        "hamutenya",
        "--upstream",
        "viewer/viewer-3",
    ];
    done(operator.run(&start));
    let again = done(operator.run(&start));
    assert!(again.contains("Nothing to change"), "{again}");
    let status = done(operator.run(&["drain", "status", "hamutenya"]));
    assert!(status.contains("viewer-viewer-3"), "{status}");
    assert!(status.contains("viewer 11/12"), "{status}");
    done(operator.run(&["--yes", "drain", "stop", "hamutenya", "viewer-viewer-3"]));
    assert_eq!(operator.stored()["drains"], serde_json::json!([]));
}

#[test]
fn verify_drains_of_everything_are_refused() {
    let operator = Operator::with_example();
    for region in ["khomas", "erongo"] {
        done(operator.run(&["--yes", "drain", "start", "hamutenya", "--region", region]));
    }
    let before = operator.server.value(KEY);
    let last = operator.run(&["--yes", "drain", "start", "hamutenya", "--region", "oshana"]);
    assert_eq!(last.status, ExitStatus::Refused);
    assert!(
        last.errors.contains("no upstream of `viewer` is left"),
        "{last:?}"
    );
    assert_eq!(operator.server.value(KEY), before);
}

#[test]
fn verify_a_move_is_planned_started_paused_and_resumed() {
    let operator = Operator::with_example();
    let figures = [
        "--service",
        "viewer",
        "--from",
        "khomas",
        "--to",
        "erongo",
        "--share",
        "0.5",
    ];
    let with = |start: &[&'static str]| {
        let mut all = start.to_vec();
        all.extend(figures);
        operator.run(&all)
    };
    let plan = done(with(&["move", "plan", "hamutenya"]));
    assert!(
        plan.contains("0.5 of khomas's traffic of viewer moves to erongo"),
        "{plan}"
    );
    assert_eq!(operator.stored()["moves"], serde_json::json!([]));
    done(with(&["--yes", "move", "start", "hamutenya"]));
    let again = done(with(&["--yes", "move", "start", "hamutenya"]));
    assert!(again.contains("Nothing to change"), "{again}");
    done(operator.run(&[
        "--yes",
        "move",
        "pause",
        "hamutenya",
        "viewer-khomas-erongo",
    ]));
    assert!(operator.stored()["moves"][0]["paused_us"].is_u64());
    done(operator.run(&[
        "--yes",
        "move",
        "resume",
        "hamutenya",
        "viewer-khomas-erongo",
    ]));
    assert!(operator.stored()["moves"][0]["paused_us"].is_null());
    let status = done(operator.run(&["move", "status", "hamutenya"]));
    assert!(status.contains("viewer-khomas-erongo"), "{status}");
}

#[test]
fn verify_a_plan_is_held_against_what_was_sold() {
    let operator = Operator::with_example();
    let plan = |demand| {
        let figures = [
            "--service",
            "viewer",
            "--from",
            "khomas",
            "--to",
            "erongo",
            "--share",
            "0.5",
        ];
        let mut all = vec!["move", "plan", "hamutenya", "--demand", demand];
        all.extend(figures);
        operator.run(&all)
    };
    done(plan("700rps"));
    let refused = plan("900rps");
    assert_eq!(refused.status, ExitStatus::Refused);
    assert!(
        refused
            .errors
            .contains("450rps from khomas to erongo, where 400rps are sold"),
        "{refused:?}"
    );
}

#[test]
fn verify_moves_together_keep_the_cap() {
    let operator = Operator::with_example();
    let start = |from, pace| {
        let figures = [
            "--service",
            "viewer",
            "--from",
            from,
            "--to",
            "oshana",
            "--share",
            "0.5",
            "--pace",
            pace,
        ];
        let mut all = vec!["--yes", "move", "start", "hamutenya"];
        all.extend(figures);
        operator.run(&all)
    };
    done(start("khomas", "0.012/s"));
    let refused = start("erongo", "0.012/s");
    assert_eq!(refused.status, ExitStatus::Refused);
    assert!(
        refused.errors.contains("together with 1 other move"),
        "{refused:?}"
    );
    done(start("erongo", "0.008/s"));
}

#[test]
fn verify_edits_keep_moves_and_drains() {
    let operator = Operator::with_example();
    done(operator.run(&["--yes", "drain", "start", "hamutenya", "--region", "khomas"]));
    done(set_deadline(&operator, &["--yes"], "900"));
    assert_eq!(operator.stored()["drains"][0]["drain"], "region-khomas");
}

#[test]
fn verify_a_newer_template_is_taken_over_on_request_only() {
    let operator = Operator::with_example();
    let text = std::fs::read_to_string(example("hamutenya/template.jsonc")).unwrap();
    let text = text
        .replace("\"version\": 1", "\"version\": 2")
        .replace("\"default\": 2000,", "\"default\": 1500,");
    let newer = support::file("upgraded-template.jsonc", text.as_bytes());
    let edit = [
        "--yes",
        "organisation",
        "edit",
        "hamutenya",
        "--template",
        &newer,
    ];
    assert_eq!(operator.run(&edit).status, ExitStatus::Refused);
    assert_eq!(
        operator.stored()["services"][0]["contract"]["deadline_ms"],
        2000
    );
    let mut upgrade = edit.to_vec();
    upgrade.push("--upgrade");
    let output = done(operator.run(&upgrade));
    assert!(output.contains("deadline_ms: 2000 -> 1500"), "{output}");
    assert_eq!(operator.stored()["template"]["version"], 2);
}

#[test]
fn verify_history_tells_who_did_what() {
    let operator = Operator::with_example();
    done(set_deadline(&operator, &["--yes"], "900"));
    let history = done(operator.run(&["organisation", "history", "hamutenya"]));
    assert!(history.contains("set viewer_deadline_ms=900"), "{history}");
    assert!(history.contains("create from hamutenya v1"), "{history}");
    let json = done(operator.run(&["--json", "organisation", "history", "hamutenya"]));
    let json: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!(json[0]["author"], "ndapewa");
}

#[test]
fn verify_a_lost_answer_is_told_as_accepted() {
    let operator = Operator::with_example();
    operator.server.lose_answers(1);
    let output = done(set_deadline(&operator, &["--yes"], "900"));
    assert!(
        output.contains("the answer was lost; found by reading"),
        "{output}"
    );
    assert_eq!(operator.stored()["revision"], 2);
}

#[test]
fn verify_a_store_that_is_away_is_told() {
    let operator = Operator::with_example();
    smol::block_on(operator.server.set_availability(Availability::Refusing));
    let outcome = set_deadline(&operator, &["--yes"], "900");
    assert_eq!(outcome.status, ExitStatus::StoreUnreachable);
    assert!(
        outcome.errors.contains("nothing was changed"),
        "{outcome:?}"
    );
}

#[test]
fn verify_a_write_in_doubt_is_told_and_can_be_run_again() {
    let operator = Operator::with_example();
    // The document is read, then no request is answered any more.
    let proxy = smol::block_on(swallow_after(1, operator.server.address())).to_string();
    let template = example("hamutenya/template.jsonc");
    let edit = [
        "organisation",
        "edit",
        "hamutenya",
        "--template",
        &template,
        "--set",
        "viewer_deadline_ms=900",
    ];
    let mut arguments = vec!["--store", &proxy, "--yes"];
    arguments.extend(edit);
    let outcome = run(&arguments);
    assert_eq!(outcome.status, ExitStatus::Unsettled, "{outcome:?}");
    assert!(
        outcome.errors.contains("run the same command again"),
        "{outcome:?}"
    );
    done(set_deadline(&operator, &["--yes"], "900"));
    let again = done(set_deadline(&operator, &["--yes"], "900"));
    assert!(again.contains("Nothing to change: r2"), "{again}");
}

#[test]
fn verify_a_write_whose_answers_are_all_lost_is_found_by_reading() {
    let operator = Operator::with_example();
    operator.server.set_answer_loss_probability(1.0);
    let output = done(set_deadline(&operator, &["--yes"], "900"));
    assert!(output.contains("found by reading"), "{output}");
}

#[test]
fn verify_commands_without_an_instance_are_told() {
    for arguments in [
        &["instances"][..],
        &["promises"],
        &["timeline"],
        &["explain", "request", "r1"],
    ] {
        let outcome = run(arguments);
        assert_eq!(
            outcome.status,
            ExitStatus::InstanceUnreachable,
            "{outcome:?}"
        );
        assert!(outcome.errors.contains("--admin"), "{outcome:?}");
    }
}

#[test]
fn verify_help_is_no_error() {
    let outcome = run(&["--help"]);
    assert_eq!(outcome.status, ExitStatus::Done);
    assert!(outcome.output.contains("organisation"), "{outcome:?}");
}
