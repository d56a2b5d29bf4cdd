//! Checks the summary of request outcomes from log lines.

use foxtidectl::ExitStatus;
use serde_json::Value;
use std::path::PathBuf;

/// Two windows of 2 s with a moved object, a timeout, refusals after a wait and at once,
/// a failure and lines that are not events.
const LINES: &str = r#"
{"event":"process-started","instance":"edge-1","time_s":100.0,"number":1001}
{"event":"request-answered","instance":"edge-1","time_s":100.5,"number":5030,"request":"a","status":200,"route":"r","service":"viewer","object":"0a","upstream":"i-1","attempts":1,"rank":0,"slot":"granted","slot_wait_ms":20,"knowledge_age_ms":100,"objective_ms":600,"latency_ms":300.0}
{"event":"request-answered","instance":"edge-2","time_s":100.6,"number":5030,"request":"b","status":200,"route":"r","service":"viewer","object":"0a","upstream":"i-2","attempts":1,"rank":1,"slot":"granted","slot_wait_ms":500,"knowledge_age_ms":900,"objective_ms":600,"latency_ms":900.0}
not a line of an instance
{"event":"attempt-failed","instance":"edge-1","time_s":102.1,"number":5032,"request":"c","route":"r","service":"viewer","outcome":"not_run","upstream":"i-1","took_ms":800.0}
{"event":"attempt-failed","instance":"edge-1","time_s":102.2,"number":5032,"request":"c","route":"r","service":"viewer","outcome":"not_run","upstream":"i-2","took_ms":3.0}
{"event":"request-failed","instance":"edge-1","time_s":102.3,"number":5031,"request":"c","status":503,"source":"instance","reason":"upstream_refused","route":"r","service":"viewer","knowledge_age_ms":100,"latency_ms":803.0}
{"event":"attempt-failed","instance":"edge-1","time_s":103.1,"number":5032,"request":"d","route":"once","service":"notices","outcome":"timed_out","upstream":"i-7","took_ms":2000.0}
{"event":"request-failed","instance":"edge-1","time_s":103.2,"number":5031,"request":"d","status":504,"source":"instance","reason":"time_up_at_upstream","route":"once","service":"notices","knowledge_age_ms":100,"latency_ms":2000.0}
{"event":"request-cancelled","instance":"edge-1","time_s":103.3,"number":5015,"request":"e"}
{"event":"lines-left-out","instance":"edge-1","time_s":103.5,"number":1011,"answered":7,"failed":2}
{"event":"lines-dropped","instance":"edge-1","time_s":103.6,"number":1012,"lines":3}
{"time_s":
"#;

fn losses(name: &str, lines: &str, options: &[&str]) -> (ExitStatus, String) {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, lines).unwrap();
    let file = file.display().to_string();
    let mut arguments: Vec<String> = options.iter().map(|&word| word.to_owned()).collect();
    arguments.extend(["losses", "--lines", &file].map(str::to_owned));
    let (mut output, mut errors) = (Vec::new(), Vec::new());
    let status = foxtidectl::run(&arguments, &mut output, &mut errors);
    output.extend(errors);
    let text = String::from_utf8(output).unwrap();
    (status, text.replace(&file, "FILE"))
}

#[test]
fn verify_requests_and_attempts_are_summed_up() {
    let (status, text) = losses("losses.log", LINES, &[]);
    assert_eq!(status, ExitStatus::Done, "{text}");
    insta::assert_snapshot!(text);
}

#[test]
fn verify_json_contains_every_window_and_every_unreadable_line() {
    let (_, text) = losses("losses-json.log", LINES, &["--json"]);
    let json: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(json["rows"].as_array().unwrap().len(), 3);
    let viewer = &json["rows"][1]["counts"];
    assert_eq!(viewer["in_time"], 1);
    assert_eq!(viewer["objects_moved"], 1);
    assert_eq!(json["unreadable"].as_array().unwrap().len(), 3);
    assert_eq!(json["lines_left_out"]["answered"], 7);
    assert_eq!(json["lines_dropped"], 3);
}

/// Calls of a start, and of a store outage in the next window.
const CALLS: &str = r#"
{"event":"store-calls","instance":"edge-1","time_s":100.0,"number":7011,"start":4,"start_old":5,"record":2,"renewal":3,"following":2,"recovery":0}
{"event":"store-calls","instance":"edge-2","time_s":101.0,"number":7011,"start":4,"record":2,"renewal":4,"following":0,"recovery":0}
{"event":"store-calls","instance":"edge-1","time_s":103.0,"number":7011,"start":0,"record":0,"renewal":4,"following":1,"recovery":9}
"#;

#[test]
fn verify_calls_to_the_store_are_summed_up_by_purpose() {
    let (status, text) = losses("losses-calls.log", CALLS, &[]);
    assert_eq!(status, ExitStatus::Done, "{text}");
    insta::assert_snapshot!(text);
    let (_, text) = losses("losses-calls-json.log", CALLS, &["--json"]);
    let json: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(json["store_calls"]["start"], 8);
    assert_eq!(json["store_calls"]["recovery"], 9);
}

#[test]
fn verify_prefixes_of_log_collectors_are_skipped() {
    let lines = CALLS.replace("{\"event\"", "2026-03-01T10:00:00Z edge-1 {\"event\"");
    let (_, text) = losses("losses-collector.log", &lines, &["--json"]);
    let json: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(json["store_calls"]["start"], 8);
    // The empty first line is not an event.
    assert_eq!(json["unreadable"].as_array().unwrap().len(), 1);
}

#[test]
fn verify_a_file_without_events_is_refused() {
    let (status, text) = losses("losses-none.log", "nothing\n", &[]);
    assert_eq!(status, ExitStatus::Refused);
    assert!(
        text.contains("FILE: none of its lines is an event"),
        "{text}"
    );
}

#[test]
fn verify_a_window_without_length_is_refused() {
    let arguments = ["losses", "--window-s", "0", "--lines", "x"].map(str::to_owned);
    let (mut output, mut errors) = (Vec::new(), Vec::new());
    let status = foxtidectl::run(&arguments, &mut output, &mut errors);
    assert_eq!(status, ExitStatus::Refused);
    let text = String::from_utf8(errors).unwrap();
    assert!(
        text.contains("valid: a number of seconds above 0"),
        "{text}"
    );
}

/// Two organisations, one of them over its quota, and a caller with an unknown key.
const ORGANISATIONS: &str = r#"
{"event":"request-answered","instance":"edge-1","time_s":100.0,"number":5030,"request":"a","status":200,"route":"r","organisation":"calm","service":"viewer","object":"","upstream":"i-1","objective_ms":600,"latency_ms":300.0}
{"event":"request-failed","instance":"edge-1","time_s":100.1,"number":5031,"request":"b","status":429,"source":"instance","reason":"quota_reached","route":"r","organisation":"hot","service":""}
{"event":"request-failed","instance":"edge-1","time_s":100.2,"number":5031,"request":"c","status":503,"source":"instance","reason":"no_slot_in_time","route":"r","organisation":"hot","service":"viewer"}
{"event":"request-failed","instance":"edge-1","time_s":100.3,"number":5031,"request":"d","status":401,"source":"instance","reason":"key_unknown","route":"r","organisation":"","service":""}
"#;

#[test]
fn verify_requests_are_summed_up_by_organisation() {
    let (status, text) = losses("losses-organisations.log", ORGANISATIONS, &[]);
    assert_eq!(status, ExitStatus::Done, "{text}");
    let hot = text.lines().find(|line| line.starts_with("hot")).unwrap();
    let cells: Vec<&str> = hot.split_whitespace().collect();
    assert_eq!(cells, ["hot", "0", "1", "1"]);
    assert!(
        text.contains("requests rejected without a known key: 1"),
        "{text}"
    );
    let (_, text) = losses("losses-organisations-json.log", ORGANISATIONS, &["--json"]);
    let json: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(json["organisations"]["by_name"]["calm"]["answered"], 1);
}

/// Two regions: requests that were late, rejected, failed, passed on and sent without an answer
/// for their slots, and a line of an instance that does not write `origin`.
const ORIGINS: &str = r#"
{"event":"request-answered","instance":"edge-1","time_s":100.0,"number":5030,"request":"a","status":200,"route":"r","organisation":"calm","origin":"khomas","region":"erongo","service":"viewer","object":"","upstream":"i-1","slot":"unanswered","objective_ms":600,"latency_ms":900.0}
{"event":"request-answered","instance":"edge-1","time_s":100.1,"number":5030,"request":"b","status":200,"route":"r","organisation":"calm","origin":"khomas","region":"khomas","service":"viewer","object":"","upstream":"i-1","slot":"granted","objective_ms":600,"latency_ms":300.0}
{"event":"request-failed","instance":"edge-1","time_s":100.2,"number":5031,"request":"c","status":503,"source":"instance","reason":"no_slot_in_time","route":"r","organisation":"hot","origin":"khomas","service":"viewer","slot":"skipped"}
{"event":"request-failed","instance":"edge-1","time_s":100.3,"number":5031,"request":"d","status":429,"source":"instance","reason":"quota_reached","route":"s","organisation":"hot","origin":"khomas","service":"","slot":"not_asked"}
{"event":"request-failed","instance":"edge-2","time_s":100.4,"number":5031,"request":"e","status":503,"source":"upstream","reason":"upstream_error","route":"r","organisation":"hot","origin":"erongo","service":"viewer","slot":"skipped"}
{"event":"request-failed","instance":"edge-2","time_s":100.5,"number":5031,"request":"c","status":503,"source":"instance","reason":"no_slot_in_time","is_taken_over":true,"route":"r","organisation":"hot","origin":"erongo","service":"viewer","slot":"unanswered"}
{"event":"request-answered","instance":"edge-3","time_s":100.6,"number":5030,"request":"f","status":200,"route":"r","service":"viewer","object":"","upstream":"i-1","slot":"granted","objective_ms":600,"latency_ms":900.0}
"#;

/// Losses of one region or organisation would disappear in those of all, or count twice.
#[test]
fn verify_losses_are_summed_up_by_organisation_route_and_origin() {
    let (_, text) = losses("losses-origins.log", ORIGINS, &[]);
    insta::assert_snapshot!(text);
    let (_, text) = losses("losses-origins-json.log", ORIGINS, &["--json"]);
    let json: Value = serde_json::from_str(&text).unwrap();
    let groups = &json["groups"];
    let outcomes = |requests, late, rejected, failed| serde_json::json!({"requests": requests, "late": late, "rejected": rejected, "failed": failed});
    assert_eq!(groups["by_origin"]["khomas"], outcomes(4, 1, 2, 0));
    assert_eq!(groups["by_origin"]["erongo"], outcomes(1, 0, 0, 1));
    assert_eq!(groups["by_origin"]["-"], outcomes(1, 1, 0, 0));
    assert_eq!(groups["by_organisation"]["hot"], outcomes(3, 0, 2, 1));
    assert_eq!(groups["by_route"]["s"], outcomes(1, 0, 1, 0));
    let slots = &json["slots_without_answer"];
    assert_eq!(slots["by_origin"]["erongo"]["skipped"], 1);
    let all = serde_json::json!({"requests": 6, "unanswered": 2, "skipped": 2});
    assert_eq!(slots["all"], all);
}

#[test]
fn verify_the_chart_shows_outcomes_and_regions_over_time() {
    let lines = r#"
{"event":"request-answered","instance":"edge-1","time_s":100.0,"number":5030,"request":"a","status":200,"route":"r","region":"khomas","service":"viewer","object":"","upstream":"i-1","objective_ms":600,"latency_ms":300.0,"slot_wait_ms":20}
{"event":"request-answered","instance":"edge-1","time_s":102.5,"number":5030,"request":"b","status":200,"route":"r","region":"erongo","service":"viewer","object":"","upstream":"i-2","objective_ms":600,"latency_ms":900.0,"slot_wait_ms":0}
"#;
    let svg = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("losses.svg");
    let name = svg.display().to_string();
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("losses-svg.log");
    std::fs::write(&file, lines).unwrap();
    let draw = |svg: &str| {
        let file = file.display().to_string();
        let arguments = ["losses", "--lines", &file, "--svg", svg].map(str::to_owned);
        let (mut output, mut errors) = (Vec::new(), Vec::new());
        let status = foxtidectl::run(&arguments, &mut output, &mut errors);
        (status, String::from_utf8(errors).unwrap())
    };
    assert_eq!(draw(&name).0, ExitStatus::Done);
    let chart = std::fs::read_to_string(&svg).unwrap();
    for word in ["in time", "late", "waiting for slots", "khomas", "erongo"] {
        assert!(chart.contains(word), "{word} in {chart}");
    }
    let (status, errors) = draw("/nowhere/losses.svg");
    assert_eq!(status, ExitStatus::Refused);
    assert!(
        errors.contains("valid") || errors.contains("give a file"),
        "{errors}"
    );
}
