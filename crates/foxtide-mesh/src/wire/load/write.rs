//! Encodes load records.

use super::{
    Foreign,
    Load,
    Record,
    SHARE_SCALE,
    Service, //
};
use foxtide_core::dissemination::{
    LoadMessage,
    LoadRecord, //
};
use foxtide_core::ids::{
    RegionId,
    ServiceId, //
};
use foxtide_core::steering::ServiceView;
use foxtide_core::time::WallTime;
use foxtide_core::units::Share;
use std::collections::BTreeMap;

/// Rounds up to `f32`, so that a peer never sees less than was claimed.
fn rounded_up(value: f64) -> f32 {
    let rounded = value as f32;
    if f64::from(rounded) < value {
        rounded.next_up()
    } else {
        rounded
    }
}

/// The names of a message and their indices.
#[derive(Debug, Default)]
struct NameTable {
    names: Vec<String>,
    indices: BTreeMap<String, u32>,
}

impl NameTable {
    fn index(&mut self, name: &str) -> u32 {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let index = self.indices.len() as u32;
        self.names.push(name.to_owned());
        self.indices.insert(name.to_owned(), index);
        index
    }

    fn indices<'a, T: 'a>(
        &mut self,
        entries: impl Iterator<Item = (&'a RegionId, T)>,
    ) -> (Vec<u32>, Vec<T>) {
        entries
            .map(|(region, value)| (self.index(region.as_str()), value))
            .unzip()
    }
}

impl From<&LoadMessage> for Load {
    fn from(message: &LoadMessage) -> Self {
        let (is_table, records) = match message {
            LoadMessage::Sum(records) => (false, records),
            LoadMessage::Table(records) => (true, records),
        };
        let mut names = NameTable::default();
        let records = records.iter().map(|record| write(record, &mut names));
        let records = records.collect();
        Self {
            is_table,
            names: names.names,
            records,
        }
    }
}

fn write(record: &LoadRecord, names: &mut NameTable) -> Record {
    let limits = record.sum.limits.iter();
    let (limit_regions, limits) = names.indices(limits);
    let claims = limits.iter().map(|limit| limit.claim);
    let planned = claims.clone().map(|claim| claim.planned_rps.get());
    let spilled = claims.map(|claim| rounded_up(claim.spilled_rps.get()));
    let spilled: Vec<_> = spilled.collect();
    let spills = spilled.iter().any(|rate| *rate > 0.0);
    let foreign = record.sum.foreign.iter();
    let foreign = foreign.map(|(region, services)| Foreign {
        region: names.index(region.as_str()),
        services: write_services(services, names),
    });
    let foreign = foreign.collect();
    Record {
        organisation: names.index(record.organisation.as_str()),
        region: names.index(record.region.as_str()),
        summed_at_us: record.summed_at.as_us(),
        oldest_age_us: age_us(record, record.oldest_at),
        live_age_us: age_us(record, record.oldest_live_at),
        counted_instances: record.sum.counted_instances,
        live_instances: record.sum.live_instances,
        services: write_services(&record.sum.services, names),
        limit_regions,
        planned_rps: planned.map(rounded_up).collect(),
        spilled_rps: if spills { spilled } else { Vec::new() },
        region_sharers: limits.iter().map(|limit| limit.region_sharers).collect(),
        link_sharers: limits.iter().map(|limit| limit.link_sharers).collect(),
        foreign,
    }
}

fn write_services(
    services: &BTreeMap<ServiceId, ServiceView>,
    names: &mut NameTable,
) -> Vec<Service> {
    let services = services.iter();
    services
        .map(|(service, view)| write_service(service, view, names))
        .collect()
}

fn age_us(record: &LoadRecord, at: WallTime) -> u64 {
    record.summed_at.as_us().saturating_sub(at.as_us())
}

fn write_service(service: &ServiceId, view: &ServiceView, names: &mut NameTable) -> Service {
    let row = view.row.iter();
    let (row_regions, shares) = names.indices(row);
    Service {
        service: names.index(service.as_str()),
        instances: view.instances,
        demand_rps: rounded_up(view.demand_rps.get()),
        healthy: view
            .healthy_share
            .map(|share| u32::from(scaled_share(share))),
        row_regions,
        row: shares
            .into_iter()
            .flat_map(|share| scaled_share(*share).to_le_bytes())
            .collect(),
    }
}

/// Returns a share in units of 1 / [`SHARE_SCALE`].
fn scaled_share(share: Share) -> u16 {
    (share.get() * f64::from(SHARE_SCALE)).round() as u16
}
