//! A plain dialect, other than the platform's.

use foxtide_core::placement::LoadReport;
use foxtide_gateway::{
    CallerFacts,
    CallerIdentity,
    Credentials,
    Dialect,
    Lookup,
    RequestAddress,
    UpstreamFacts, //
};
use foxtide_http::{
    ForwardedRequest,
    ForwardedResponse,
    HeaderLines, //
};
use std::net::SocketAddr;
use std::time::Duration;

/// Headers with plain names.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PlainDialect;

impl Dialect for PlainDialect {
    fn caller_facts(&self, lines: &HeaderLines) -> CallerFacts {
        let time_left_ms = lines
            .text("time-left-ms")
            .and_then(|text| text.parse().ok());
        CallerFacts {
            request_id: lines.text("request").map(str::to_owned),
            time_left: time_left_ms.map(Duration::from_millis),
            object: lines.get("object").map(<[u8]>::to_vec),
            credentials: credentials(lines),
        }
    }

    fn address_request(&self, lines: &mut HeaderLines, address: &RequestAddress<'_>) {
        lines.set("time-left-ms", &address.time_left.as_millis().to_string());
        lines.set("incarnation", address.upstream.as_str());
        if *address.caller == CallerIdentity::Unasked {
            return;
        }
        lines.remove("key");
        lines.remove("organisation");
        if let Some(terms) = address.caller.organisation() {
            lines.set("organisation", terms.organisation.as_str());
        }
    }

    fn upstream_facts(&self, head: &ForwardedResponse) -> UpstreamFacts {
        let lines = &head.lines;
        let is_other_incarnation = lines.get("other-incarnation").is_some();
        UpstreamFacts {
            request_id: lines.text("request").map(str::to_owned),
            is_not_run: is_other_incarnation || lines.get("not-run").is_some(),
            is_other_incarnation,
            is_signed: lines.get("signature").is_some(),
            is_encoded: false,
            load: None::<LoadReport>,
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

    fn asks_readiness(&self, request: &ForwardedRequest) -> bool {
        request.path() == "/ready"
    }
}

fn credentials(lines: &HeaderLines) -> Credentials {
    match lines.text("key") {
        None => Credentials::Missing,
        Some(key) => key
            .parse()
            .map_or(Credentials::Unreadable, Credentials::Key),
    }
}
