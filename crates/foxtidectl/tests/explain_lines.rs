//! Checks explanations of requests from log lines.

use foxtidectl::ExitStatus;
use std::path::PathBuf;

const LINES: &str = r#"
{"event":"process-started","instance":"edge-1","time_s":100.0,"number":1001,"version":"0.1.0"}
{"event":"configuration-applied","instance":"edge-1","time_s":100.5,"number":2002,"version":4,"before":0,"routes":8}
{"event":"configuration-applied","instance":"edge-2","time_s":100.6,"number":2002,"version":5,"before":4,"routes":8}
{"event":"zones-evacuated","instance":"edge-1","time_s":101.0,"number":4019,"zones":"khomas-b"}
{"event":"upstream-ejected","instance":"edge-1","time_s":101.5,"number":5003,"upstream":"i-9","failure_share":0.6}
{"event":"upstream-ejected","instance":"edge-2","time_s":101.5,"number":5003,"upstream":"i-1","failure_share":0.6}
{"event":"upstream-ejected","instance":"edge-1","time_s":101.6,"number":5003,"upstream":"i-1","failure_share":0.6}
{"event":"store-unreachable","instance":"edge-1","time_s":102.0,"number":7001,"cause":"store: no answer in time"}
not a line of an instance
{"event":"attempt-failed","instance":"edge-1","time_s":106.1,"number":5032,"request":"full","outcome":"not_run","cause":"the upstream said so","upstream":"i-1","zone":"khomas-a","rank":0,"occupancy":15,"is_cold":false}
{"event":"attempt-failed","instance":"edge-1","time_s":106.2,"number":5032,"request":"full","outcome":"not_run","cause":"the upstream said so","upstream":"i-2","zone":"khomas-a","rank":1,"occupancy":17,"is_cold":false}
{"event":"request-failed","instance":"edge-1","time_s":106.3,"number":5031,"request":"full","status":503,"source":"instance","reason":"upstream_refused","route":"r","is_idempotent":true,"service":"viewer","upstream":"i-2","attempts":2,"version":4,"knowledge_age_ms":100,"latency_ms":8.5}
{"event":"attempt-failed","instance":"edge-1","time_s":106.4,"number":5032,"request":"lost","outcome":"unknown","cause":"reset","upstream":"i-1","zone":"khomas-a","rank":0,"occupancy":1,"is_cold":false}
{"event":"request-failed","instance":"edge-1","time_s":106.5,"number":5031,"request":"lost","status":502,"source":"instance","reason":"response_lost","route":"r","is_idempotent":false,"service":"notices","upstream":"i-1","attempts":1,"version":4,"knowledge_age_ms":100,"latency_ms":8.5}
{"event":"request-answered","instance":"edge-1","time_s":107.0,"number":5030,"request":"late","status":200,"route":"r","service":"viewer","object":"0a","upstream":"i-2","attempts":1,"rank":1,"occupancy":3,"version":4,"knowledge_age_ms":5000,"objective_ms":600,"latency_ms":1180.2}
{"event":"request-failed","instance":"edge-1","time_s":107.05,"number":5031,"request":"unslotted","status":503,"source":"instance","reason":"no_slot_in_time","route":"r","is_idempotent":true,"service":"viewer","upstream":"i-2","attempts":1,"slot":"refused","slot_wait_ms":310,"coordinator":"edge-2","version":4,"knowledge_age_ms":100,"latency_ms":311.0}
{"event":"attempt-failed","instance":"edge-1","time_s":107.1,"number":5032,"request":"open","outcome":"unknown","cause":"reset","upstream":"i-1","zone":"khomas-a","rank":0,"occupancy":1,"is_cold":false}
"#;

fn explain(name: &str, lines: &str, request: &str) -> (ExitStatus, String) {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, lines).unwrap();
    explain_file(&file.display().to_string(), request)
}

fn explain_file(file: &str, request: &str) -> (ExitStatus, String) {
    let arguments = ["explain", "request", request, "--lines", file].map(str::to_owned);
    let (mut output, mut errors) = (Vec::new(), Vec::new());
    let status = foxtidectl::run(&arguments, &mut output, &mut errors);
    output.extend(errors);
    (status, String::from_utf8(output).unwrap())
}

#[test]
fn verify_a_refusal_names_the_load_of_the_upstreams() {
    let (status, text) = explain("refused.log", LINES, "full");
    assert_eq!(status, ExitStatus::Done);
    let cause = "cause: status 503: it did not run: every upstream tried was at capacity \
                 (i-1 had 15 requests, i-2 had 17 requests)";
    assert!(text.contains(cause), "{text}");
    assert!(text.contains("configuration version 4 in force"), "{text}");
    // Events of other instances and other upstreams are omitted.
    assert!(!text.contains("version 5"), "{text}");
    assert!(!text.contains("i-9"), "{text}");
    assert_eq!(text.matches("upstream-ejected i-1").count(), 1, "{text}");
}

#[test]
fn verify_an_unknown_outcome_explains_the_missing_retry() {
    let (_, text) = explain("lost.log", LINES, "lost");
    assert!(
        text.contains("it may have run: the response was lost (i-1: reset)"),
        "{text}"
    );
    assert!(
        text.contains("it was not retried, since it must not run twice"),
        "{text}"
    );
}

#[test]
fn verify_a_late_answer_names_the_outage_and_the_evacuation() {
    let (_, text) = explain("late.log", LINES, "late");
    for part in [
        "answered by upstream i-2 after 1180 ms, above the latency objective of 600 ms",
        "the object's preferred upstream was not used",
        "evacuated availability zones: khomas-b",
        "data of the store that was 5.0 s old (unreachable since 1970-01-01T00:01:42.000000Z: \
         store: no answer in time)",
    ] {
        assert!(text.contains(part), "{part}: {text}");
    }
}

#[test]
fn verify_a_request_without_an_end_is_reported() {
    let (status, text) = explain("open.log", LINES, "open");
    assert_eq!(status, ExitStatus::Done);
    assert!(
        text.contains("the log lines do not contain the end of the request"),
        "{text}"
    );
}

#[test]
fn verify_what_cannot_be_explained_is_refused_with_advice() {
    let (status, text) = explain("other.log", LINES, "nobody");
    assert_eq!(status, ExitStatus::Refused);
    assert!(
        text.contains("events mentions request nobody") && text.contains("F1011"),
        "{text}"
    );
    let (status, text) = explain("empty.log", "nothing\n", "full");
    assert_eq!(status, ExitStatus::Refused);
    assert!(
        text.contains("empty.log") && text.contains("`time_s`"),
        "{text}"
    );
    let (status, text) = explain_file("there-is-no-such.log", "full");
    assert_eq!(status, ExitStatus::Refused);
    assert!(text.contains("there-is-no-such.log"), "{text}");
}

#[test]
fn verify_a_refusal_without_a_slot_names_the_wait_and_the_coordinator() {
    let (_, text) = explain("unslotted.log", LINES, "unslotted");
    let cause = "cause: status 503: it did not run: it waited 310 ms for a slot of upstream i-2, \
                 and none was expected within its time limit (coordinator edge-2)";
    assert!(text.contains(cause), "{text}");
}
