//! Decodes load records.

use super::{
    Load,
    Record,
    SHARE_SCALE,
    Service, //
};
use crate::wire::invalid_message::InvalidMessage;
use foxtide_core::dissemination::{
    LoadMessage,
    LoadRecord, //
};
use foxtide_core::ids::{
    OrganisationId,
    RegionId,
    ServiceId, //
};
use foxtide_core::limits::{
    Claim,
    LimitUse, //
};
use foxtide_core::steering::{
    RegionView,
    ServiceView, //
};
use foxtide_core::time::{
    MonotonicTime,
    WallTime, //
};
use foxtide_core::units::{
    RequestRate,
    Share, //
};
use std::collections::BTreeMap;
use std::str::FromStr;

pub(crate) fn read_load(load: &Load) -> Result<LoadMessage, InvalidMessage> {
    let records = load.records.iter();
    let records: Result<Vec<_>, _> = records.map(|record| read(record, &load.names)).collect();
    Ok(if load.is_table {
        LoadMessage::Table(records?)
    } else {
        LoadMessage::Sum(records?)
    })
}

fn read(record: &Record, names: &[String]) -> Result<LoadRecord, InvalidMessage> {
    let before = |age_us: u64| {
        let at_us = record.summed_at_us.saturating_sub(age_us);
        WallTime::from_us(at_us)
    };
    let mut sum = RegionView {
        oldest_at: MonotonicTime::ZERO,
        counted_instances: record.counted_instances,
        live_instances: record.live_instances,
        ..RegionView::default()
    };
    sum.services = read_services(&record.services, names)?;
    for foreign in &record.foreign {
        let services = read_services(&foreign.services, names)?;
        sum.foreign.insert(name(names, foreign.region)?, services);
    }
    let spilled = record.spilled_rps.iter().copied();
    let spilled = spilled.chain(std::iter::repeat(0.0));
    let rates = record.planned_rps.iter().zip(spilled);
    let sharers = record.region_sharers.iter().zip(&record.link_sharers);
    let limits = rates.zip(sharers).zip(&record.limit_regions);
    for (((planned, spilled), (region_sharers, link_sharers)), region) in limits {
        let limit = LimitUse {
            claim: Claim {
                planned_rps: rate(*planned)?,
                spilled_rps: rate(spilled)?,
            },
            region_sharers: *region_sharers,
            link_sharers: *link_sharers,
        };
        sum.limits.insert(name(names, *region)?, limit);
    }
    Ok(LoadRecord {
        organisation: name::<OrganisationId>(names, record.organisation)?,
        region: name::<RegionId>(names, record.region)?,
        summed_at: before(0),
        oldest_at: before(record.oldest_age_us),
        oldest_live_at: before(record.live_age_us),
        sum,
    })
}

fn read_services(
    services: &[Service],
    names: &[String],
) -> Result<BTreeMap<ServiceId, ServiceView>, InvalidMessage> {
    let services = services.iter();
    let services = services.map(|service| {
        let id = name(names, service.service)?;
        Ok((id, read_service(service, names)?))
    });
    services.collect()
}

fn read_service(service: &Service, names: &[String]) -> Result<ServiceView, InvalidMessage> {
    let (chunks, _) = service.row.as_chunks();
    let parts = chunks
        .iter()
        .map(|bytes| f64::from(u16::from_le_bytes(*bytes)));
    // The encoded shares are rounded; dividing by their sum restores a total of 1.
    let total: f64 = parts.clone().sum();
    let shares = parts.map(|part| Share::clamped(part / total));
    let mut row = BTreeMap::new();
    for (region, share) in service.row_regions.iter().zip(shares) {
        row.insert(name(names, *region)?, share);
    }
    let healthy = service.healthy.map(f64::from);
    let healthy_share = healthy.map(|parts| Share::clamped(parts / f64::from(SHARE_SCALE)));
    Ok(ServiceView {
        instances: service.instances,
        demand_rps: rate(service.demand_rps)?,
        healthy_share,
        row,
    })
}

fn name<T: FromStr>(names: &[String], index: u32) -> Result<T, InvalidMessage> {
    let name = names.get(index as usize).ok_or(InvalidMessage)?;
    name.parse().map_err(|_| InvalidMessage)
}

fn rate(value: f32) -> Result<RequestRate, InvalidMessage> {
    RequestRate::new(f64::from(value)).map_err(|_| InvalidMessage)
}
