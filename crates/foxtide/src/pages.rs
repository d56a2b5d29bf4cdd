//! Serves the admin pages for operators.

use crate::promises::Promises;
use crate::readiness::Readiness;
use crate::tables::Tables;
use foxtide_core::events::EventFilter;
use foxtide_core::explain::ExplainFilter;
use foxtide_core::membership::Member;
use foxtide_core::units::Revision;
use foxtide_entry::AdminPage;
use foxtide_events::{
    Explainer,
    TimeLine, //
};
use metrics_exporter_prometheus::PrometheusHandle;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;

const JSON_CONTENT_TYPE: &str = "application/json";

/// The number of explanations returned if the query sets no limit.
const EXPLANATIONS_DEFAULT_LIMIT: usize = 20;

const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// The data behind the admin pages.
#[derive(Debug)]
pub(crate) struct AdminPages {
    pub(crate) tables: Arc<Tables>,
    /// The events of this instance and those stored for peers.
    pub(crate) time_line: TimeLine,
    /// The routing decisions of look-ups and requests.
    pub(crate) explainer: Explainer,
    pub(crate) promises: Promises,
    pub(crate) metrics: PrometheusHandle,
    pub(crate) readiness: Readiness,
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

impl AdminPages {
    fn events(&self, query: Option<&str>) -> Option<AdminPage> {
        let filter = event_filter(query)?;
        Some(json(&self.time_line.select(&filter)))
    }

    fn explanations(&self, query: Option<&str>) -> Option<AdminPage> {
        let filter = explain_filter(query)?;
        Some(json(&self.explainer.select(&filter)))
    }

    fn promises(&self, query: Option<&str>) -> Option<AdminPage> {
        let Some(name) = parameter(query, "organisation") else {
            return Some(json(&self.promises.rows(None)));
        };
        let organisation = name.parse().ok()?;
        Some(json(&self.promises.rows(Some(&organisation))))
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
            content_type: METRICS_CONTENT_TYPE,
            body: self.metrics.render().into_bytes(),
        }
    }
}

impl foxtide_entry::Admin for AdminPages {
    fn page(&self, path: &str, query: Option<&str>) -> Option<AdminPage> {
        match path {
            "/metrics" => Some(self.metrics()),
            "/v1/events" => self.events(query),
            "/v1/explain" => self.explanations(query),
            "/v1/promises" => self.promises(query),
            "/v1/instances" => Some(json(&self.instances())),
            "/v1/configuration" => self.configuration(query),
            _ => None,
        }
    }

    fn is_ready(&self) -> bool {
        self.readiness.is_serving()
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
    // Serialisation cannot fail: all map keys are strings.
    let body = serde_json::to_vec(value).unwrap_or_default();
    AdminPage {
        content_type: JSON_CONTENT_TYPE,
        body,
    }
}

fn parameter<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    let found = pairs(query).find(|(key, _)| *key == name);
    found.map(|(_, value)| value)
}

fn pairs(query: Option<&str>) -> impl Iterator<Item = (&str, &str)> {
    let parts = query.unwrap_or_default().split('&');
    parts.filter_map(|part| part.split_once('='))
}

/// Parses an event query. Returns `None` if a value is invalid.
fn event_filter(query: Option<&str>) -> Option<EventFilter> {
    let mut filter = EventFilter::default();
    for (name, text) in pairs(query) {
        filter.set(name, text).ok()?;
    }
    Some(filter)
}

/// Parses an explain query. Returns `None` if a value is invalid.
fn explain_filter(query: Option<&str>) -> Option<ExplainFilter> {
    let mut filter = ExplainFilter {
        limit: Some(EXPLANATIONS_DEFAULT_LIMIT),
        ..ExplainFilter::default()
    };
    for (name, text) in pairs(query) {
        match name {
            "request" => filter.request = Some(text.parse().ok()?),
            "kind" => filter.kind = Some(text.parse().ok()?),
            "organisation" => filter.organisation = Some(text.parse().ok()?),
            "service" => filter.service = Some(text.parse().ok()?),
            "unusual" => filter.unusual = text.parse().ok()?,
            "limit" => filter.limit = Some(text.parse().ok()?),
            _ => {}
        }
    }
    Some(filter)
}
