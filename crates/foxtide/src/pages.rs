//! The pages for operators.

use crate::tables::Tables;
use foxtide_core::events::{Event, EventFilter};
use foxtide_core::membership::Member;
use foxtide_core::units::Revision;
use foxtide_entry::AdminPage;
use foxtide_events::TimeLine;
use metrics_exporter_prometheus::PrometheusHandle;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

const JSON: &str = "application/json";
const METRICS: &str = "text/plain; version=0.0.4";

/// Answers operators from what the instance knows.
#[derive(Debug)]
pub(crate) struct Pages {
    /// The configurations and instances.
    pub(crate) tables: Arc<Tables>,
    /// The events of this instance and those kept for peers.
    pub(crate) time_line: TimeLine,
    /// What renders the metrics.
    pub(crate) metrics: PrometheusHandle,
    /// Whether callers can be served.
    pub(crate) ready: Arc<AtomicBool>,
}

/// One instance, as `/v1/instances` shows it.
#[derive(Debug, Serialize)]
struct InstanceRow {
    instance: String,
    region: String,
    availability_zone: String,
    caller_address: String,
    peer_address: String,
    state: String,
}

impl Pages {
    fn events(&self, query: Option<&str>) -> Vec<Event> {
        let filter = filter_of(query);
        self.time_line.select(&filter)
    }

    fn instances(&self) -> Vec<InstanceRow> {
        self.tables.members().iter().map(instance_row).collect()
    }

    fn revisions(&self) -> BTreeMap<String, Revision> {
        let organisations = self.tables.organisations();
        let revisions = organisations.iter();
        let revisions = revisions.map(|(id, document)| (id.to_string(), document.revision));
        revisions.collect()
    }

    fn configuration(&self, query: Option<&str>) -> Option<AdminPage> {
        let Some(name) = parameter(query, "organisation") else {
            return Some(json(&self.revisions()));
        };
        let document = self.tables.organisation(&name.parse().ok()?)?;
        Some(json(document.as_ref()))
    }

    fn metrics(&self) -> AdminPage {
        AdminPage {
            content_type: METRICS,
            body: self.metrics.render().into_bytes(),
        }
    }
}

impl foxtide_entry::Admin for Pages {
    fn page(&self, path: &str, query: Option<&str>) -> Option<AdminPage> {
        match path {
            "/metrics" => Some(self.metrics()),
            "/v1/events" => Some(json(&self.events(query))),
            "/v1/instances" => Some(json(&self.instances())),
            "/v1/configuration" => self.configuration(query),
            _ => None,
        }
    }

    fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }
}

fn instance_row(member: &Member) -> InstanceRow {
    InstanceRow {
        instance: member.instance.to_string(),
        region: member.region.to_string(),
        availability_zone: member.availability_zone.to_string(),
        caller_address: member.caller_address.to_string(),
        peer_address: member.peer_address.to_string(),
        state: member.state.to_string(),
    }
}

fn json(value: &impl Serialize) -> AdminPage {
    // Types of this crate with names as keys always have a JSON form.
    let body = serde_json::to_vec(value).unwrap_or_default();
    AdminPage {
        content_type: JSON,
        body,
    }
}

fn parameter<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    let pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    let mut found = pairs.filter(|(key, _)| *key == name);
    found.next().map(|(_, value)| value)
}

fn filter_of(query: Option<&str>) -> EventFilter {
    EventFilter {
        organisation: parameter(query, "organisation").and_then(|text| text.parse().ok()),
        region: parameter(query, "region").and_then(|text| text.parse().ok()),
        limit: parameter(query, "limit").and_then(|text| text.parse().ok()),
        ..EventFilter::default()
    }
}
