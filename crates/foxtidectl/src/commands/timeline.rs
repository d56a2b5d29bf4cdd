//! `foxtidectl timeline`: the merged events of all instances.

use crate::admin;
use crate::failure::Failure;
use crate::report::{
    Report,
    utc, //
};
use crate::session::Session;
use argh::FromArgs;
use foxtide_config::document;
use foxtide_core::events::{
    Event,
    EventCode,
    EventFilter,
    HybridTime,
    Level,
    merge, //
};
use foxtide_core::ids::{
    InstanceId,
    OrganisationId,
    RegionId, //
};
use serde_json::{
    Value,
    json, //
};
use smol::Timer;
use std::collections::HashSet;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// The polling interval of `--follow`.
const FOLLOW_PERIOD: Duration = Duration::from_secs(1);

/// How much older than the newest event shown an event may be to appear with
/// `--follow`; events of slower instances arrive late.
const FOLLOW_LOOKBACK: Duration = Duration::from_secs(10);

/// Show the events of all instances in causal order
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "timeline")]
pub(crate) struct TimeLine {
    /// only events of this organisation
    #[argh(option)]
    organisation: Option<OrganisationId>,
    /// only events of this region
    #[argh(option)]
    region: Option<RegionId>,
    /// only events at this instance
    #[argh(option)]
    instance: Option<InstanceId>,
    /// only events of this kind: a number such as F5003, or a name
    #[argh(option)]
    kind: Option<EventCode>,
    /// include events of the level debug
    #[argh(switch)]
    debug: bool,
    /// the maximum number of events, the latest ones, default 200
    #[argh(option, default = "200")]
    limit: usize,
    /// keep showing new events until interrupted
    #[argh(switch)]
    follow: bool,
}

impl TimeLine {
    /// Merges the events of all instances.
    pub(crate) async fn run(
        self,
        session: &Session,
        output: &mut dyn Write,
    ) -> Result<Report, Failure> {
        let admin_addresses = &session.options().admin;
        let mut filter = self.filter();
        if self.follow {
            return follow(admin_addresses, filter, session.json(), output).await;
        }
        filter.limit = Some(self.limit);
        let fetched = fetch_events(admin_addresses, &filter).await?;
        let mut text: String = fetched.events.iter().map(event_line).collect();
        for error in &fetched.errors {
            text.push_str(&format!("missing: {error}\n"));
        }
        Ok(Report::new(
            text,
            json!({"events": fetched.events, "missing": fetched.errors}),
        ))
    }

    fn filter(&self) -> EventFilter {
        EventFilter {
            organisation: self.organisation.clone(),
            region: self.region.clone(),
            instance: self.instance.clone(),
            code: self.kind,
            level: (!self.debug && self.kind.is_none()).then_some(Level::Info),
            ..EventFilter::default()
        }
    }
}

/// The events of the instances that responded, and the errors of the others.
struct FetchedEvents {
    events: Vec<Event>,
    errors: Vec<String>,
}

async fn fetch_events(
    admin_addresses: &[SocketAddr],
    filter: &EventFilter,
) -> Result<FetchedEvents, Failure> {
    let addresses = admin::all_addresses(admin_addresses).await?;
    let responses = admin::fetch_all(&addresses, &events_path(filter)).await?;
    let mut sources = Vec::new();
    let mut errors = responses.errors;
    for (address, value) in responses.pages {
        let (events, unknown) = parse_events(address, value);
        sources.push(events);
        if unknown > 0 {
            let what = format!("{unknown} event(s) of kinds that this version does not know");
            errors.push(format!("instance {address}: {what}"));
        }
    }
    let events = merge(sources);
    Ok(FetchedEvents {
        events: filter.select(events.iter()),
        errors,
    })
}

/// Parses the events of a page and counts those that are invalid, for example from
/// another version.
fn parse_events(address: SocketAddr, page: Value) -> (Vec<Event>, usize) {
    let name = format!("instance {address}");
    let Value::Array(listed) = page else {
        return (Vec::new(), 1);
    };
    let total = listed.len();
    let read = listed
        .into_iter()
        .map(|one| document::from_value::<Event>(&name, one));
    let events: Vec<Event> = read.filter_map(Result::ok).collect();
    let unknown = total - events.len();
    (events, unknown)
}

/// Returns the path of the events page with the filter as its query.
fn events_path(filter: &EventFilter) -> String {
    let mut path = "/v1/events?".to_owned();
    let mut add = |name: &str, value: Option<String>| {
        if let Some(value) = value {
            path.push_str(&format!("{name}={value}&"));
        }
    };
    add(
        "organisation",
        filter.organisation.as_ref().map(ToString::to_string),
    );
    add("region", filter.region.as_ref().map(ToString::to_string));
    add(
        "instance",
        filter.instance.as_ref().map(ToString::to_string),
    );
    add("code", filter.code.map(|code| code.name().to_owned()));
    add("level", filter.level.map(|level| level.to_string()));
    add(
        "since_us",
        filter.since_us.map(|since| since.as_us().to_string()),
    );
    add("limit", filter.limit.map(|limit| limit.to_string()));
    path.trim_end_matches(['&', '?']).to_owned()
}

fn event_line(event: &Event) -> String {
    let Event {
        clock, instance, ..
    } = event;
    let time = utc(clock.wall_us);
    format!("{time}+{} {instance} {event}\n", clock.counter)
}

/// Prints new events until the output is closed.
async fn follow(
    admin_addresses: &[SocketAddr],
    filter: EventFilter,
    json: bool,
    output: &mut dyn Write,
) -> Result<Report, Failure> {
    let mut filter = filter;
    let mut shown: HashSet<(HybridTime, InstanceId)> = HashSet::new();
    loop {
        let fetched = fetch_events(admin_addresses, &filter).await?;
        for event in &fetched.events {
            if shown.insert((event.clock, event.instance.clone()))
                && !write_event(event, json, output)
            {
                return Ok(Report::new(String::new(), Value::Null));
            }
        }
        if let Some(newest) = shown.iter().map(|(clock, _)| clock.wall_us).max() {
            let oldest = newest.saturating_sub(FOLLOW_LOOKBACK);
            filter.since_us = Some(oldest);
            shown.retain(|(clock, _)| clock.wall_us >= oldest);
        }
        Timer::after(FOLLOW_PERIOD).await;
    }
}

/// Writes an event and returns whether the output is still open.
fn write_event(event: &Event, json: bool, output: &mut dyn Write) -> bool {
    let text = match json {
        true => format!("{}\n", json!(event)),
        false => event_line(event),
    };
    output.write_all(text.as_bytes()).is_ok() && output.flush().is_ok()
}
