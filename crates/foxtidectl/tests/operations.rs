//! Checks changes of documents, including concurrent changes and store failures.

#[allow(dead_code)]
mod support;

use foxtide_testing::Availability;
use foxtidectl::ExitStatus;
use support::{
    DOCUMENT_KEY,
    Operator,
    Outcome,
    drop_responses_after,
    example,
    run, //
};

fn successful_output(outcome: Outcome) -> String {
    assert_eq!(outcome.status, ExitStatus::Done, "{outcome:?}");
    outcome.output
}

/// Sets the deadline of the service `viewer`.
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
    let before = operator.server.value(DOCUMENT_KEY);
    let output = successful_output(set_deadline(&operator, &[], "900ms"));
    assert!(
        output.contains("~ services[viewer].contract.deadline_ms: 2000 -> 900"),
        "{output}"
    );
    assert!(
        output.contains("Not written. Add --yes --revision r1"),
        "{output}"
    );
    assert_eq!(operator.server.value(DOCUMENT_KEY), before);
    successful_output(set_deadline(
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
fn verify_a_stale_revision_is_refused_with_the_later_changes() {
    let operator = Operator::with_example();
    successful_output(set_deadline(&operator, &["--yes"], "900"));
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
fn verify_drains_can_be_started_twice_and_stopped() {
    let operator = Operator::with_example();
    let start = [
        "--yes",
        "drain",
        "start",
        "hamutenya",
        "--upstream",
        "viewer/viewer-3",
    ];
    successful_output(operator.run(&start));
    let again = successful_output(operator.run(&start));
    assert!(again.contains("Nothing to change"), "{again}");
    let status = successful_output(operator.run(&["drain", "status", "hamutenya"]));
    assert!(status.contains("viewer-viewer-3"), "{status}");
    assert!(status.contains("viewer 11/12"), "{status}");
    successful_output(operator.run(&["--yes", "drain", "stop", "hamutenya", "viewer-viewer-3"]));
    assert_eq!(operator.stored()["drains"], serde_json::json!([]));
}

#[test]
fn verify_draining_all_upstreams_is_refused() {
    let operator = Operator::with_example();
    for region in ["khomas", "erongo"] {
        successful_output(operator.run(&[
            "--yes",
            "drain",
            "start",
            "hamutenya",
            "--region",
            region,
        ]));
    }
    let before = operator.server.value(DOCUMENT_KEY);
    let last = operator.run(&["--yes", "drain", "start", "hamutenya", "--region", "oshana"]);
    assert_eq!(last.status, ExitStatus::Refused);
    assert!(
        last.errors.contains("no upstream of `viewer` is left"),
        "{last:?}"
    );
    assert_eq!(operator.server.value(DOCUMENT_KEY), before);
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
    let plan = successful_output(with(&["move", "plan", "hamutenya"]));
    assert!(
        plan.contains("0.5 of khomas's traffic of viewer moves to erongo"),
        "{plan}"
    );
    assert_eq!(operator.stored()["moves"], serde_json::json!([]));
    successful_output(with(&["--yes", "move", "start", "hamutenya"]));
    let again = successful_output(with(&["--yes", "move", "start", "hamutenya"]));
    assert!(again.contains("Nothing to change"), "{again}");
    successful_output(operator.run(&[
        "--yes",
        "move",
        "pause",
        "hamutenya",
        "viewer-khomas-erongo",
    ]));
    assert!(operator.stored()["moves"][0]["paused_us"].is_u64());
    successful_output(operator.run(&[
        "--yes",
        "move",
        "resume",
        "hamutenya",
        "viewer-khomas-erongo",
    ]));
    assert!(operator.stored()["moves"][0]["paused_us"].is_null());
    let status = successful_output(operator.run(&["move", "status", "hamutenya"]));
    assert!(status.contains("viewer-khomas-erongo"), "{status}");
}

#[test]
fn verify_a_plan_is_checked_against_the_sold_rates() {
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
    successful_output(plan("700rps"));
    let refused = plan("900rps");
    assert_eq!(refused.status, ExitStatus::Refused);
    assert!(
        refused
            .errors
            .contains("450rps from khomas to erongo, above the sold rate of 400rps"),
        "{refused:?}"
    );
}

#[test]
fn verify_concurrent_moves_share_the_shift_cap() {
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
    successful_output(start("khomas", "0.012/s"));
    let refused = start("erongo", "0.012/s");
    assert_eq!(refused.status, ExitStatus::Refused);
    assert!(
        refused.errors.contains("together with 1 other move"),
        "{refused:?}"
    );
    successful_output(start("erongo", "0.008/s"));
}

#[test]
fn verify_edits_keep_moves_and_drains() {
    let operator = Operator::with_example();
    successful_output(operator.run(&[
        "--yes",
        "drain",
        "start",
        "hamutenya",
        "--region",
        "khomas",
    ]));
    successful_output(set_deadline(&operator, &["--yes"], "900"));
    assert_eq!(operator.stored()["drains"][0]["drain"], "region-khomas");
}

#[test]
fn verify_a_newer_template_is_applied_only_on_request() {
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
    let output = successful_output(operator.run(&upgrade));
    assert!(output.contains("deadline_ms: 2000 -> 1500"), "{output}");
    assert_eq!(operator.stored()["template"]["version"], 2);
}

#[test]
fn verify_history_lists_authors_and_changes() {
    let operator = Operator::with_example();
    successful_output(set_deadline(&operator, &["--yes"], "900"));
    let history = successful_output(operator.run(&["organisation", "history", "hamutenya"]));
    assert!(history.contains("set viewer_deadline_ms=900"), "{history}");
    assert!(history.contains("create from hamutenya v1"), "{history}");
    let json = successful_output(operator.run(&["--json", "organisation", "history", "hamutenya"]));
    let json: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!(json[0]["author"], "ndapewa");
}

#[test]
fn verify_a_change_with_a_lost_answer_is_reported_as_accepted() {
    let operator = Operator::with_example();
    operator.server.lose_answers(1);
    let output = successful_output(set_deadline(&operator, &["--yes"], "900"));
    assert!(
        output.contains("the response was lost; confirmed by reading the store"),
        "{output}"
    );
    assert_eq!(operator.stored()["revision"], 2);
}

#[test]
fn verify_an_unreachable_store_is_reported() {
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
fn verify_an_unsettled_write_is_reported_and_can_be_repeated() {
    let operator = Operator::with_example();
    // Only the read of the document is answered.
    let proxy = smol::block_on(drop_responses_after(1, operator.server.address())).to_string();
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
    successful_output(set_deadline(&operator, &["--yes"], "900"));
    let again = successful_output(set_deadline(&operator, &["--yes"], "900"));
    assert!(again.contains("Nothing to change: r2"), "{again}");
}

#[test]
fn verify_a_write_whose_answers_are_all_lost_is_found_by_reading() {
    let operator = Operator::with_example();
    operator.server.set_answer_loss_probability(1.0);
    let output = successful_output(set_deadline(&operator, &["--yes"], "900"));
    assert!(
        output.contains("confirmed by reading the store"),
        "{output}"
    );
}

#[test]
fn verify_commands_without_an_instance_are_refused() {
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
