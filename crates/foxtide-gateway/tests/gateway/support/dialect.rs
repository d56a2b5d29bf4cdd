//! A simple dialect, independent of the platform's.

use foxtide_core::placement::LoadReport;
use foxtide_gateway::{
    CallerHeaders,
    CallerIdentity,
    Credentials,
    Dialect,
    ForwardHeaders,
    Lookup,
    Statement,
    UpstreamHeaders, //
};
use foxtide_http::{
    ForwardedRequest,
    ForwardedResponse,
    HeaderLines, //
};
use std::net::SocketAddr;
use std::time::Duration;

/// A dialect with unprefixed header names.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PlainDialect;

impl Dialect for PlainDialect {
    fn read_caller_headers(&self, lines: &HeaderLines) -> CallerHeaders {
        let time_left_ms = lines
            .text("time-left-ms")
            .and_then(|text| text.parse().ok());
        CallerHeaders {
            request_id: lines.text("request").map(str::to_owned),
            time_left: time_left_ms.map(Duration::from_millis),
            object: lines.get("object").map(<[u8]>::to_vec),
            credentials: credentials(lines),
        }
    }

    fn write_forward_headers(&self, lines: &mut HeaderLines, values: &ForwardHeaders<'_>) {
        self.write_time_left(lines, values.time_left);
        lines.set("incarnation", values.upstream.as_str());
        if *values.caller == CallerIdentity::NotRequired {
            return;
        }
        lines.remove("key");
        lines.remove("organisation");
        if let Some(terms) = values.caller.organisation() {
            lines.set("organisation", terms.organisation.as_str());
        }
    }

    fn write_time_left(&self, lines: &mut HeaderLines, time_left: Duration) {
        lines.set("time-left-ms", &time_left.as_millis().to_string());
    }

    fn read_upstream_headers(&self, head: &ForwardedResponse) -> UpstreamHeaders {
        let lines = &head.lines;
        let is_other_incarnation = lines.get("other-incarnation").is_some();
        UpstreamHeaders {
            request_id: lines.text("request").map(str::to_owned),
            is_not_run: is_other_incarnation || lines.get("not-run").is_some(),
            is_other_incarnation,
            is_signed: lines.get("signature").is_some(),
            is_encoded: false,
            load: lines.text("slowness").map(|text| LoadReport {
                running: 0,
                waiting: 0,
                slots: 4,
                slowness: text.parse().ok(),
            }),
            rate_limit: statement(lines, "rate-limit"),
            retry_after: match statement::<f64>(lines, "retry-after") {
                Statement::Valid(seconds) => Statement::Valid(Duration::from_secs_f64(seconds)),
                Statement::Absent => Statement::Absent,
                Statement::Unreadable => Statement::Unreadable,
            },
            is_draining: statement(lines, "draining"),
        }
    }

    fn lookup(&self, request: &ForwardedRequest) -> Option<Lookup> {
        let region = request.query().strip_prefix("region=");
        (request.path() == "/lookup").then(|| Lookup {
            region: region.and_then(|region| region.parse().ok()),
        })
    }

    fn lookup_answer(&self, addresses: &[SocketAddr], ttl: Duration) -> Vec<u8> {
        let mut lines: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
        lines.sort();
        format!("{} {}", lines.join(","), ttl.as_millis()).into_bytes()
    }

    fn is_readiness_check(&self, request: &ForwardedRequest) -> bool {
        request.path() == "/ready"
    }
}

fn credentials(lines: &HeaderLines) -> Credentials {
    match lines.text("key") {
        None => Credentials::Missing,
        Some(key) => key.parse().map_or(Credentials::Malformed, Credentials::Key),
    }
}

fn statement<T: std::str::FromStr>(lines: &HeaderLines, name: &str) -> Statement<T> {
    match lines.text(name) {
        None => Statement::Absent,
        Some(text) => text.parse().map_or(Statement::Unreadable, Statement::Valid),
    }
}
