//! Checks that malformed input gives one error with its location and valid values, and
//! changes nothing.

#[allow(dead_code)]
mod support;

use foxtidectl::ExitStatus;
use std::fmt::Write;
use support::{
    DOCUMENT_KEY,
    Operator,
    example,
    file, //
};

const SETTINGS: &str = r#"{
  "instance": "khomas-a-1",
  "region": "khomas",
  "availability_zone": "khomas-a",
  "cluster": "hamutenya",
  "caller": {"listen": "10.20.1.1:8080"},
  "admin": {"listen": "10.20.1.1:8081"},
  "peer": {"listen": "10.20.1.1:7400"},
  "store_address": "10.20.0.10:8500",
  "workers": 2,
  "limits": {}
}"#;

const TEMPLATE: &str = r#"{
  "template": "small",
  "version": 1,
  "description": "A template",
  "parameters": {
    "cap": {"type": "share_per_s", "default": 0.02, "least": 0.001, "most": 0.1, "description": "Cap"}
  },
  "document": {"shift_cap_share_per_s": {"$parameter": "cap"}}
}"#;

/// A malformed file, named after its fault.
struct BadFile {
    name: &'static str,
    content: Vec<u8>,
}

/// Replaces a part of a text; panics if it is missing.
fn replaced(text: &str, part: &str, by: &str) -> Vec<u8> {
    assert!(text.contains(part), "{part}");
    text.replacen(part, by, 1).into_bytes()
}

fn settings(name: &'static str, part: &str, by: &str) -> BadFile {
    let content = replaced(SETTINGS, part, by);
    BadFile { name, content }
}

fn template(name: &'static str, part: &str, by: &str) -> BadFile {
    let content = replaced(TEMPLATE, part, by);
    BadFile { name, content }
}

fn bad_settings() -> Vec<BadFile> {
    let limits = r#""limits": {}"#;
    vec![
        settings(
            "truncated",
            "\"store_address\": \"10.20.0.10:8500\",\n  \"workers\": 2,\n  \"limits\": {}\n}",
            "\"store_",
        ),
        settings(
            "duplicate key",
            "\"workers\": 2",
            "\"workers\": 2, \"workers\": 4",
        ),
        settings(
            "duplicate nested key",
            limits,
            r#""limits": {"events": {"kept_max": 64, "kept_max": 65}}"#,
        ),
        settings("unknown field", "\"workers\"", "\"threads\""),
        settings(
            "wrong unit in the name",
            limits,
            r#""limits": {"lookups": {"ttl_ms": 5000}}"#,
        ),
        settings(
            "unit in the value",
            limits,
            r#""limits": {"requests": {"deadline_max_ms": "2s"}}"#,
        ),
        settings(
            "negative limit",
            limits,
            r#""limits": {"requests": {"in_flight_max": -1}}"#,
        ),
        settings(
            "fraction for a count",
            limits,
            r#""limits": {"requests": {"in_flight_max": 1.5}}"#,
        ),
        settings(
            "impossible limit",
            limits,
            r#""limits": {"shutdown": {"drain_max_ms": 10}}"#,
        ),
        settings("no workers", "\"workers\": 2", "\"workers\": 0"),
        settings("missing field", "\"instance\": \"khomas-a-1\",\n", ""),
        settings("name with capitals", "khomas-a-1", "Khomas A1"),
        settings("address without port", "10.20.0.10:8500", "10.20.0.10"),
        settings(
            "host name for an address",
            "10.20.0.10:8500",
            "store.internal:8500",
        ),
        settings(
            "address that reaches nobody",
            "10.20.1.1:8080",
            "0.0.0.0:8080",
        ),
        settings(
            "two listeners on one port",
            "10.20.1.1:8081",
            "10.20.1.1:8080",
        ),
        settings("single quotes", "\"khomas\"", "'khomas'"),
        settings("missing comma", "\"workers\": 2,", "\"workers\": 2"),
        settings("not a number", "\"workers\": 2", "\"workers\": NaN"),
        BadFile {
            name: "empty",
            content: Vec::new(),
        },
        BadFile {
            name: "not UTF-8",
            content: b"{\"instance\": \"\xff\xfe\"}".to_vec(),
        },
        BadFile {
            name: "two megabytes",
            content: vec![b' '; 2_000_000],
        },
        BadFile {
            name: "two documents",
            content: [SETTINGS, SETTINGS].concat().into_bytes(),
        },
        BadFile {
            name: "something else",
            content: b"{\"colour\": \"red\"}".to_vec(),
        },
    ]
}

fn bad_templates() -> Vec<BadFile> {
    vec![
        template(
            "hole without a parameter",
            "\"$parameter\": \"cap\"",
            "\"$parameter\": \"capp\"",
        ),
        template(
            "parameter without a hole",
            "{\"$parameter\": \"cap\"}",
            "0.02",
        ),
        template(
            "default outside of its range",
            "\"default\": 0.02",
            "\"default\": 0.5",
        ),
        template("unknown type", "share_per_s\", \"def", "percent\", \"def"),
        template(
            "unknown field of the document",
            "\"shift_cap_share_per_s\"",
            "\"shift_cap\"",
        ),
    ]
}

/// A command that must be refused, named after its fault.
struct BadCommand {
    name: &'static str,
    arguments: Vec<String>,
}

fn command(name: &'static str, line: &str) -> BadCommand {
    let words = line.split(' ').map(str::to_owned);
    BadCommand {
        name,
        arguments: words.collect(),
    }
}

fn edit(name: &'static str, setting: &str) -> BadCommand {
    let template = example("hamutenya/template.jsonc");
    command(
        name,
        &format!("organisation edit hamutenya --template {template} --set {setting}"),
    )
}

fn bad_edits() -> Vec<BadCommand> {
    let template = example("hamutenya/template.jsonc");
    let newer = std::fs::read_to_string(&template).expect("readable");
    let newer = file(
        "newer-template.jsonc",
        &replaced(&newer, "\"version\": 1", "\"version\": 2"),
    );
    vec![
        edit("unknown parameter", "viewer_dealine_ms=900"),
        edit("wrong unit", "viewer_drain_window_s=30ms"),
        edit("unit of another kind", "khomas_sold_rate_rps=900ms"),
        edit("negative cap", "viewer_shift_cap_share_per_s=-0.01/s"),
        edit("share above one", "viewer_spill_limit_share=1.2"),
        edit(
            "value above the template's range",
            "viewer_deadline_ms=90000",
        ),
        edit("no value", "viewer_deadline_ms"),
        edit("unknown region", "viewer_homes=khomas=0.5,kunene=0.5"),
        edit(
            "homes that do not sum to one",
            "viewer_homes=khomas=0.5,erongo=0.4",
        ),
        edit("home twice", "viewer_homes=khomas=0.5,khomas=0.5"),
        edit("link above its region", "link_sold_rate_rps=5000"),
        command(
            "another template version",
            &format!("organisation edit hamutenya --template {newer} --set viewer_deadline_ms=900"),
        ),
        command(
            "stale revision",
            &format!(
                "--revision r7 organisation edit hamutenya --template {template} --set viewer_deadline_ms=900"
            ),
        ),
        command(
            "no such organisation",
            &format!("organisation edit kunene --template {template} --set viewer_deadline_ms=900"),
        ),
        command(
            "bad organisation name",
            &format!("organisation create Kunene --template {template}"),
        ),
        command(
            "organisation that exists",
            &format!(
                "organisation create hamutenya --template {template} --set viewer_deadline_ms=900"
            ),
        ),
        command(
            "no such template",
            "organisation create kunene --template absent.jsonc",
        ),
    ]
}

fn bad_drains_and_moves() -> Vec<BadCommand> {
    let start = "move start hamutenya --service";
    vec![
        command("drain of nothing", "drain start hamutenya"),
        command(
            "drain of two things",
            "drain start hamutenya --region khomas --availability-zone khomas-a",
        ),
        command(
            "drain of an unknown upstream",
            "drain start hamutenya --upstream viewer/viewer-99",
        ),
        command(
            "drain of an upstream without service",
            "drain start hamutenya --upstream viewer-1",
        ),
        command(
            "drain of an unknown availability zone",
            "drain start hamutenya --availability-zone khomas-c",
        ),
        command(
            "drain of an unknown region",
            "drain start hamutenya --region kunene",
        ),
        command(
            "move of an unknown service",
            "move start hamutenya --service ledger --from khomas --to erongo --share 0.5",
        ),
        command(
            "move faster than the cap",
            &format!("{start} viewer --from khomas --to erongo --share 0.5 --pace 0.5/s"),
        ),
        command(
            "move to where it is",
            &format!("{start} viewer --from khomas --to khomas --share 0.5"),
        ),
        command(
            "move to an unknown region",
            &format!("{start} viewer --from khomas --to kunene --share 0.5"),
        ),
        command(
            "move of more than all",
            &format!("{start} viewer --from khomas --to erongo --share 1.5"),
        ),
        command(
            "move of nothing",
            &format!("{start} viewer --from khomas --to erongo --share 0"),
        ),
        command(
            "pause of an unknown move",
            "move pause hamutenya viewer-khomas-erongo",
        ),
        command("unknown command", "organisation destroy hamutenya"),
        command("missing argument", "drain start"),
    ]
}

/// Replaces the parts of an error that differ between runs.
fn normalised(text: &str, server: &Operator) -> String {
    let address = server.server.address().to_string();
    let directory = env!("CARGO_TARGET_TMPDIR");
    let examples = example("");
    let text = text
        .replace(&address, "STORE")
        .replace(&format!("{directory}/"), "");
    text.replace(&examples, "examples/")
}

fn record_error(
    snapshot: &mut String,
    name: &str,
    operator: &Operator,
    arguments: &[&str],
) -> ExitStatus {
    let outcome = operator.run(arguments);
    assert_ne!(outcome.status, ExitStatus::Done, "{name}: {outcome:?}");
    assert_eq!(outcome.output, "", "{name}");
    let count = |part: &str| outcome.errors.matches(part).count();
    assert_eq!(count("error: "), 1, "{name}: {}", outcome.errors);
    assert_eq!(count("next: "), 1, "{name}: {}", outcome.errors);
    let errors = normalised(&outcome.errors, operator);
    writeln!(snapshot, "# {name} ({:?})\n{errors}", outcome.status).expect("written");
    outcome.status
}

#[test]
fn verify_malformed_files_give_one_clear_error() {
    let operator = Operator::new();
    let mut snapshot = String::new();
    for bad in bad_settings().into_iter().chain(bad_templates()) {
        let name = format!("{}.jsonc", bad.name.replace(' ', "-"));
        let path = file(&name, &bad.content);
        let status = record_error(&mut snapshot, bad.name, &operator, &["check", &path]);
        assert_eq!(status, ExitStatus::Refused, "{}", bad.name);
    }
    insta::assert_snapshot!(snapshot);
}

#[test]
fn verify_malformed_commands_give_one_clear_error_and_change_nothing() {
    let operator = Operator::with_example();
    let before = operator.server.value(DOCUMENT_KEY);
    let mut snapshot = String::new();
    for bad in bad_edits().into_iter().chain(bad_drains_and_moves()) {
        let mut arguments = vec!["--yes"];
        arguments.extend(bad.arguments.iter().map(String::as_str));
        record_error(&mut snapshot, bad.name, &operator, &arguments);
        assert_eq!(operator.server.value(DOCUMENT_KEY), before, "{}", bad.name);
    }
    insta::assert_snapshot!(snapshot);
}

#[test]
fn verify_malformed_stored_values_give_one_clear_error_and_stay() {
    let operator = Operator::with_example();
    let good = operator.stored();
    let mut newer = good.clone();
    newer["schema_version"] = 2.into();
    let mut other = good.clone();
    other["organisation"] = "kluisdepot".into();
    let mut unknown = good;
    unknown["colour"] = "red".into();
    let values = [
        ("stored value not UTF-8", vec![0xff, 0xfe]),
        (
            "stored value truncated",
            newer.to_string().as_bytes()[..500].to_vec(),
        ),
        (
            "stored value of a newer form",
            newer.to_string().into_bytes(),
        ),
        (
            "stored value of another organisation",
            other.to_string().into_bytes(),
        ),
        (
            "stored value with an unknown field",
            unknown.to_string().into_bytes(),
        ),
    ];
    let mut snapshot = String::new();
    for (name, value) in values {
        operator.server.set_value(DOCUMENT_KEY, value.clone());
        let arguments = ["--yes", "drain", "start", "hamutenya", "--region", "khomas"];
        record_error(&mut snapshot, name, &operator, &arguments);
        assert_eq!(operator.server.value(DOCUMENT_KEY), Some(value), "{name}");
    }
    insta::assert_snapshot!(snapshot);
}
