//! Explains the outcome of a request from its log lines.

use super::trace::RequestTrace;
use crate::commands::log_lines::LogLine;

/// The age in milliseconds from which data of the store counts as stale. Instances poll the
/// store or a peer every 0.8 s with a timeout of 2 s.
const STALE_STORE_DATA_MS: f64 = 3_000.0;

/// Returns the cause of a request's outcome.
pub(super) fn describe(trace: &RequestTrace<'_>) -> String {
    let Some(end) = trace.end() else {
        return "the log lines do not contain the end of the request: the instance was killed, or \
                the line was omitted"
            .to_owned();
    };
    match end.event.as_str() {
        "request-cancelled" => "its caller cancelled it before the response".to_owned(),
        "request-answered" => answered(trace, end),
        _ => failed(trace, end),
    }
}

fn failed(trace: &RequestTrace<'_>, end: &LogLine) -> String {
    let status = end.text("status");
    let reason = match end.text("reason").as_str() {
        "upstream_refused" => format!(
            "it did not run: every upstream tried was at capacity ({})",
            occupancies(trace)
        ),
        "no_slot_in_time" => format!(
            "it did not run: it waited {:.0} ms for a slot of upstream {}, and none was expected \
             within its time limit (coordinator {})",
            end.number("slot_wait_ms").unwrap_or_default(),
            end.text("upstream"),
            end.text("coordinator")
        ),
        "upstreams_unreachable" => format!(
            "it did not run: no connection could be made ({})",
            causes(trace)
        ),
        "upstreams_cold" => "it did not run: the remaining upstreams have just started and \
                             have received their share of requests"
            .to_owned(),
        "no_upstream_registered" => "it did not run: no upstream of the service is registered \
                                     where the route may be served"
            .to_owned(),
        "upstreams_tried" => format!("it did not run at any upstream ({})", causes(trace)),
        "time_up_before_sending" => {
            "it did not run: its time limit expired between attempts".to_owned()
        }
        "no_configuration_yet" => "it did not run: the instance had just started and had not \
                                   read the configuration"
            .to_owned(),
        "no_service_has_weight" => {
            "it did not run: no service of its route has a weight".to_owned()
        }
        "stopping" => "it did not run: the instance was stopping and would have exited before \
                       the route's timeout"
            .to_owned(),
        "response_lost" => format!(
            "it may have run: the response was lost ({}){}",
            causes(trace),
            no_retry_note(end)
        ),
        "time_up_at_upstream" => format!(
            "it may have run: upstream {} did not respond within the time limit{}",
            end.text("upstream"),
            no_retry_note(end)
        ),
        "upstream_error" => format!("upstream {} responded with an error", end.text("upstream")),
        "no_route" => format!(
            "version {} of the configuration has no route for it",
            end.text("version")
        ),
        "key_missing" => "its caller sent no key, and its route is not public".to_owned(),
        "key_unreadable" => "its caller did not send exactly one well-formed key".to_owned(),
        "key_unknown" => format!(
            "no organisation in version {} of the configuration has its caller's key",
            end.text("version")
        ),
        "key_changed_hands" => {
            "its caller's key was assigned to another organisation while it waited".to_owned()
        }
        "quota_reached" => format!(
            "it did not run: organisation {} had used up its quota",
            end.text("organisation")
        ),
        "no_common_home" => format!(
            "it did not run: its route and organisation {} have no home in common",
            end.text("organisation")
        ),
        "ends_its_upstreams" => format!(
            "it did not run: requests with its fingerprint ({}) are quarantined, since upstreams \
             ended while handling them",
            end.text("fingerprint")
        ),
        "malformed" => "the request is malformed".to_owned(),
        "head_too_long" | "body_too_long" => "the request exceeds the size limit".to_owned(),
        "caller_too_slow" => "the caller took too long to send the request".to_owned(),
        other => format!("{other}; docs/OPERATIONS.md lists the reasons"),
    };
    let (sends, outage) = (sends_note(end), outage_note(trace, end));
    format!("status {status}: {reason}{sends}{outage}")
}

/// Describes an answered request, including delays, retries and a changed upstream.
fn answered(trace: &RequestTrace<'_>, end: &LogLine) -> String {
    let upstream = end.text("upstream");
    let latency_ms = end.number("latency_ms").unwrap_or_default();
    let objective_ms = end.number("objective_ms").unwrap_or(f64::MAX);
    let mut text = format!("answered by upstream {upstream} after {latency_ms:.0} ms");
    if latency_ms > objective_ms {
        text.push_str(&format!(
            ", above the latency objective of {objective_ms:.0} ms"
        ));
    }
    let attempts = trace.failed_attempts().count();
    if attempts > 0 {
        text.push_str(&format!(
            "; {attempts} earlier attempts failed ({})",
            causes(trace)
        ));
    }
    if end.number("rank").is_some_and(|rank| rank > 0.0) {
        text.push_str(
            "; the object's preferred upstream was not used, so this one may not have \
                       served the object before",
        );
    }
    let occupancy = end.number("occupancy").unwrap_or_default();
    if occupancy > 0.0 {
        text.push_str(&format!("; the upstream already had {occupancy} requests"));
    }
    if let Some(evacuated) = trace.latest_state_event("zones-evacuated") {
        let zones = evacuated.text("zones");
        if zones != "-" {
            text.push_str(&format!("; evacuated availability zones: {zones}"));
        }
    }
    text.push_str(&outage_note(trace, end));
    text
}

/// Returns a note if the request was decided on stale data of the store.
fn outage_note(trace: &RequestTrace<'_>, end: &LogLine) -> String {
    let age_ms = end.number("knowledge_age_ms").unwrap_or_default();
    if age_ms < STALE_STORE_DATA_MS {
        return String::new();
    }
    let since = match trace.latest_state_event("store-unreachable") {
        Some(lost) => format!(
            " (unreachable since {}: {})",
            lost.time(),
            lost.text("cause")
        ),
        None => String::new(),
    };
    let age_s = age_ms / 1_000.0;
    format!("; the instance used data of the store that was {age_s:.1} s old{since}")
}

/// Returns a note on what became of each send.
fn sends_note(end: &LogLine) -> String {
    match end.text("sends").as_str() {
        "" | "-" => String::new(),
        sends => format!("; its sends: {sends}"),
    }
}

fn no_retry_note(end: &LogLine) -> &'static str {
    match end.boolean("is_idempotent") {
        Some(false) => "; it was not retried, since it must not run twice",
        _ => "",
    }
}

fn occupancies(trace: &RequestTrace<'_>) -> String {
    let of_attempt = |line: &LogLine| {
        let (upstream, occupancy) = (line.text("upstream"), line.text("occupancy"));
        format!("{upstream} had {occupancy} requests")
    };
    let attempts: Vec<String> = trace.failed_attempts().map(of_attempt).collect();
    attempts.join(", ")
}

fn causes(trace: &RequestTrace<'_>) -> String {
    let of_attempt = |line: &LogLine| format!("{}: {}", line.text("upstream"), line.text("cause"));
    let attempts: Vec<String> = trace.failed_attempts().map(of_attempt).collect();
    attempts.join(", ")
}

/// Formats one line of a trace.
pub(super) fn describe_line(line: &LogLine) -> String {
    let field = |name: &str| line.text(name);
    match line.event.as_str() {
        "attempt-failed" => format!(
            "attempt at {} in {}, rank {} for the object, {} requests at the upstream: {}, {}",
            field("upstream"),
            field("zone"),
            field("rank"),
            field("occupancy"),
            field("outcome"),
            field("cause")
        ),
        "request-answered" => format!(
            "answered {} by {} after {} attempts, {} ms",
            field("status"),
            field("upstream"),
            field("attempts"),
            field("latency_ms")
        ),
        "request-failed" => format!(
            "failed {}: {} after {} attempts, {} ms",
            field("status"),
            field("reason"),
            field("attempts"),
            field("latency_ms")
        ),
        "configuration-applied" => format!("configuration version {} in force", field("version")),
        "zones-evacuated" => format!("evacuated availability zones: {}", field("zones")),
        "store-unreachable" => format!("the store is unreachable: {}", field("cause")),
        "quota-reached" => format!(
            "organisation {} has used up its quota",
            field("organisation")
        ),
        "request-quarantined" => format!(
            "requests with fingerprint {} are quarantined: {} upstreams ended while handling them",
            field("fingerprint"),
            field("ends")
        ),
        "quarantine-learnt" => format!(
            "requests with fingerprint {} are quarantined, as reported by {}",
            field("fingerprint"),
            field("from")
        ),
        "store-restored" => format!(
            "the store was restored from an older copy: {}",
            field("index")
        ),
        "configuration-kept" => format!(
            "configuration version {} stays in force: the store holds {}",
            field("version"),
            field("told")
        ),
        "store-reachable" => "the store is reachable".to_owned(),
        "relay-lost" => format!(
            "a peer does not relay the data of the store: {}",
            field("cause")
        ),
        event if event.starts_with("upstream-") => {
            format!("{event} {}", field("upstream"))
        }
        event => event.to_owned(),
    }
}
