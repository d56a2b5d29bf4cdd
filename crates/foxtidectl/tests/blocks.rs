//! Checks the `blocks` commands.

#[allow(dead_code)]
mod support;

use foxtidectl::ExitStatus;
use support::{
    Operator,
    Outcome,
    example, //
};

fn successful_output(outcome: Outcome) -> String {
    assert_eq!(outcome.status, ExitStatus::Done, "{outcome:?}");
    outcome.output
}

fn with_blocks() -> Operator {
    let operator = Operator::new();
    let file = example("hamutenya/blocks.jsonc");
    let output = successful_output(operator.run(&["--yes", "blocks", "load", &file]));
    assert!(output.contains("client blocks r1"), "{output}");
    operator
}

fn find(operator: &Operator, client: &str) -> String {
    successful_output(operator.run(&["blocks", "find", client]))
}

#[test]
fn verify_blocks_are_loaded_changed_and_found() {
    let operator = with_blocks();
    assert!(find(&operator, "10.20.1.1").contains("region erongo"));
    assert!(find(&operator, "2001:db8:20::7").contains("region erongo"));
    assert!(find(&operator, "192.0.2.1").contains("in no block"));
    let set = ["blocks", "set", "10.20.7.0/24", "ondangwa"];
    assert!(successful_output(operator.run(&set)).contains("Not written"));
    assert!(find(&operator, "10.20.7.1").contains("region erongo"));
    successful_output(operator.run(&[&["--yes"][..], &set].concat()));
    assert!(find(&operator, "10.20.7.1").contains("region oshana (r2)"));
    successful_output(operator.run(&["--yes", "blocks", "remove", "10.20.0.0/16"]));
    assert!(find(&operator, "10.20.1.1").contains("region khomas (r3)"));
    let shown = successful_output(operator.run(&["blocks", "show"]));
    assert!(shown.contains("3 v4 and 2 v6 blocks in 2 chunks of r1, 2 changes since"));
}

#[test]
fn verify_bad_input_changes_nothing() {
    let operator = with_blocks();
    for (block, site) in [
        ("10.1.2.3/16", "windhoek"),
        ("10.0.0.0/33", "windhoek"),
        ("2001:db8::/65", "windhoek"),
        ("10.1.0.0/16", "nowhere"),
    ] {
        let outcome = operator.run(&["--yes", "blocks", "set", block, site]);
        assert_eq!(outcome.status, ExitStatus::Refused, "{outcome:?}");
    }
    assert!(find(&operator, "10.1.2.3").contains("(r1)"));
}

#[test]
fn verify_missing_blocks_are_reported_with_advice() {
    let outcome = Operator::new().run(&["blocks", "show"]);
    assert_eq!(outcome.status, ExitStatus::Refused);
    assert!(
        outcome.errors.contains("foxtidectl blocks load"),
        "{outcome:?}"
    );
}

#[test]
fn verify_reserved_names_are_refused() {
    let operator = Operator::new();
    let template = example("hamutenya/template.jsonc");
    let create = ["--yes", "organisation", "create", "foxtide-client-blocks"];
    let arguments = [&create[..], &["--template", &template]].concat();
    let outcome = operator.run(&arguments);
    assert_eq!(outcome.status, ExitStatus::Refused, "{outcome:?}");
    assert!(outcome.errors.contains("reserved"), "{outcome:?}");
}
