//! Where the rows of an instance start: where its peers stand.

use super::engine::{Adopt, Steering};
use super::flows::OriginFlows;
use super::tables::NamedRow;
use super::view::{FleetView, ServiceView};
use crate::ids::{RegionId, ServiceId};
use crate::time::MonotonicTime;
use crate::units::Share;
use std::collections::BTreeMap;

/// The rows of all services for one origin.
type Rows = BTreeMap<ServiceId, NamedRow>;

impl Steering {
    /// Takes over the peers' rows where they are needed and known.
    pub(super) fn adopt_rows(&mut self) {
        self.remember_rows();
        let waits = self.adopt != Adopt::Done;
        for (place, flows) in self.flows.iter_mut().enumerate() {
            let region = self.view.regions.get(&flows.origin);
            let own = region
                .map(|region| rows_of(&region.services))
                .unwrap_or_default();
            if place == 0 {
                flows.adopt(&own, &self.tables, waits);
                flows.take_peers(&own, &self.tables);
                flows.take_peers_demand(&self.view, &self.tables);
                self.adopt = if own.is_empty() {
                    self.adopt
                } else {
                    Adopt::Done
                };
                continue;
            }
            let foreign = rows_of(&self.view.foreign(&flows.origin));
            // The instances of an origin know best where its callers go.
            flows.adopt(&foreign, &self.tables, waits);
            flows.adopt(&own, &self.tables, true);
            flows.take_peers(&foreign, &self.tables);
        }
    }

    /// Ends the waiting for peers' rows once they have had time to tell, and
    /// starts the rows that none of them knows of.
    pub(super) fn start_rows(&mut self, now: MonotonicTime) {
        if let Adopt::Waiting { since } = self.adopt {
            if now.since(since) < self.options.startup_wait {
                return;
            }
            self.adopt = Adopt::Done;
        }
        let services = self.tables.services.iter();
        let ids: Vec<ServiceId> = services.map(|(id, _)| id.clone()).collect();
        for flows in self.flows.iter_mut().filter(|flows| flows.misses_rows()) {
            let rows = ids.iter().filter_map(|id| {
                let row = row_elsewhere(&self.view, &flows.origin, id)?;
                Some((id.clone(), row))
            });
            flows.adopt(&rows.collect(), &self.tables, false);
            flows.start_missing(self.view.hears_majority());
        }
    }

    /// Finds the flows of an origin's callers, or makes them.
    pub(super) fn flows_of(&mut self, origin: &RegionId) -> usize {
        let known = self.flows.iter().position(|flows| flows.origin == *origin);
        match known {
            Some(place) => place,
            // A caller from no region of the organisation is like one's own.
            None if self.tables.region(origin).is_none() => 0,
            None => self.add_flows(origin),
        }
    }

    fn add_flows(&mut self, origin: &RegionId) -> usize {
        let organisation = &self.organisation;
        let mut flows = OriginFlows::new(organisation, origin.clone(), &self.options, &self.rooms);
        flows.share_health(&self.flows[0]);
        if let Some(rows) = self.last_rows.get(origin) {
            flows.adopt(rows, &self.tables, false);
        }
        self.flows.push(flows);
        self.adopt_rows();
        self.flows.len() - 1
    }

    /// Remembers where each origin's callers went: when its instances are
    /// gone, this is where the other ones go on from.
    fn remember_rows(&mut self) {
        for (origin, region) in &self.view.regions {
            let rows = rows_of(&region.services);
            if !rows.is_empty() {
                self.last_rows
                    .entry(origin.clone())
                    .or_default()
                    .extend(rows);
            }
        }
    }
}

fn rows_of(services: &BTreeMap<ServiceId, ServiceView>) -> Rows {
    let rows = services
        .iter()
        .filter(|(_, service)| !service.row.is_empty());
    rows.map(|(id, service)| (id.clone(), service.row.clone()))
        .collect()
}

/// Returns where a service's requests from an origin go that has no instance
/// but this one.
///
/// Its callers have used instances of other regions: these know their rows, or
/// served them like their own.
fn row_elsewhere(view: &FleetView, origin: &RegionId, service: &ServiceId) -> Option<NamedRow> {
    let mut foreign = view.foreign(origin);
    if let Some(foreign) = foreign
        .remove(service)
        .filter(|foreign| !foreign.row.is_empty())
    {
        return Some(foreign.row);
    }
    let regions = view.regions.values();
    let others = regions.filter_map(|region| region.services.get(service));
    let others: Vec<_> = others.filter(|other| !other.row.is_empty()).collect();
    let total_rps: f64 = others.iter().map(|other| other.demand_rps.get()).sum();
    if total_rps <= 0.0 {
        return None;
    }
    let mut mean = NamedRow::new();
    for other in others {
        let weight = other.demand_rps.get() / total_rps;
        for (region, share) in &other.row {
            let sum = mean.entry(region.clone()).or_default();
            *sum = Share::clamped(sum.get() + share.get() * weight);
        }
    }
    Some(mean)
}
