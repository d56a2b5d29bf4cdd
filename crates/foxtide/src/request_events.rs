//! Events of the request path, recorded under their numbers and counted.

use foxtide_core::events::{EventCode, EventFields, RequestId};
use foxtide_core::ids::{RegionId, UpstreamId};
use foxtide_entry::{Outcome, RequestEvent, RequestFacts};
use foxtide_events::Recorder;

/// The name of the histogram of answered requests' latency.
const LATENCY_METRIC: &str = "foxtide_request_seconds";
/// The name of the counter of requests that were given up, by outcome.
const REFUSED_METRIC: &str = "foxtide_requests_refused_total";
/// The name of the counter of attempts that failed.
const FAILED_ATTEMPTS_METRIC: &str = "foxtide_attempts_failed_total";

/// Records the request path's events in the process's recorder.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecorder {
    recorder: Recorder,
}

impl RequestRecorder {
    /// Returns one that records in `recorder`.
    pub(crate) fn new(recorder: Recorder) -> Self {
        Self { recorder }
    }
}

impl foxtide_entry::Recorder for RequestRecorder {
    fn record(&self, event: RequestEvent<'_>) {
        count(&event);
        if let Some((code, fields)) = numbered(&event) {
            self.recorder.record(code, fields);
        }
    }
}

fn count(event: &RequestEvent<'_>) {
    match event {
        RequestEvent::Answered {
            request, latency, ..
        } => {
            let service = request.service.to_string();
            metrics::histogram!(LATENCY_METRIC, "service" => service).record(latency.as_secs_f64());
        }
        RequestEvent::Refused {
            request, outcome, ..
        } => {
            let service = request.service.to_string();
            let outcome = outcome.to_string();
            metrics::counter!(REFUSED_METRIC, "service" => service, "outcome" => outcome)
                .increment(1);
        }
        RequestEvent::AttemptFailed { request, .. } => {
            let service = request.service.to_string();
            metrics::counter!(FAILED_ATTEMPTS_METRIC, "service" => service).increment(1);
        }
        _ => {}
    }
}

/// Returns the numbered event, for all but the ordinary answers, which are
/// only counted.
fn numbered(event: &RequestEvent<'_>) -> Option<(EventCode, EventFields)> {
    let (code, fields) = match event {
        RequestEvent::AttemptFailed {
            request,
            upstream,
            region,
            cause,
            ..
        } => (
            EventCode::UpstreamUnreachable,
            at_upstream(request, upstream, region, (*cause).to_owned()),
        ),
        RequestEvent::Refused {
            request,
            outcome,
            reason,
        } => (outcome_code(*outcome), of_request(request, reason)),
        RequestEvent::CallerGone { caller } => (
            EventCode::RequestCancelled,
            EventFields::detail(format!("caller={caller}")),
        ),
        RequestEvent::BadRequest { caller, reason } => (
            EventCode::RequestRejected,
            EventFields::detail(format!("caller={caller} reason={reason}")),
        ),
        RequestEvent::AcceptFailed { cause } => {
            (EventCode::ListenerFailed, EventFields::detail(*cause))
        }
        RequestEvent::Draining => (EventCode::ProcessStopping, EventFields::default()),
        RequestEvent::Drained => (EventCode::ProcessDrained, EventFields::default()),
        _ => return None,
    };
    Some((code, fields))
}

fn outcome_code(outcome: Outcome) -> EventCode {
    match outcome {
        Outcome::Unknown => EventCode::RequestUnknown,
        _ => EventCode::RequestNotRun,
    }
}

fn of_request(request: &RequestFacts, detail: &str) -> EventFields {
    EventFields {
        organisation: Some(request.organisation.organisation.clone()),
        service: Some(request.service.clone()),
        request: request.request.parse::<RequestId>().ok(),
        detail: detail.to_owned(),
        ..EventFields::default()
    }
}

fn at_upstream(
    request: &RequestFacts,
    upstream: &UpstreamId,
    region: &RegionId,
    detail: String,
) -> EventFields {
    EventFields {
        region: Some(region.clone()),
        upstream: Some(upstream.clone()),
        ..of_request(request, &detail)
    }
}
