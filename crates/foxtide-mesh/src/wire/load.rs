//! The encoded form of load records.
//!
//! Names stand once in each message; records refer to them by place.

use super::convert::Unreadable;
use foxtide_core::ids::{OrganisationId, RegionId, ServiceId};
use foxtide_core::limits::Claim;
use foxtide_core::spreading::{LoadMessage, LoadRecord};
use foxtide_core::steering::{RegionView, ServiceView};
use foxtide_core::time::{MonotonicTime, WallTime};
use foxtide_core::units::{RequestRate, Share};
use std::collections::{BTreeMap, BTreeSet};
use std::str::FromStr;

/// The encoded form of the share 1.
const WHOLE: u16 = u16::MAX;

/// Load records that travel together.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Load {
    /// Whether the records are a table of regions, or else the sender's sum.
    #[prost(bool, tag = "1")]
    pub(crate) is_table: bool,
    #[prost(string, repeated, tag = "2")]
    pub(crate) names: Vec<String>,
    #[prost(message, repeated, tag = "3")]
    pub(crate) records: Vec<Record>,
}

/// What some instances of a region report for one organisation.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Record {
    #[prost(uint32, tag = "1")]
    pub(crate) organisation: u32,
    #[prost(uint32, tag = "2")]
    pub(crate) region: u32,
    #[prost(uint64, tag = "3")]
    pub(crate) summed_at_us: u64,
    #[prost(uint64, tag = "4")]
    pub(crate) oldest_age_us: u64,
    #[prost(uint64, tag = "5")]
    pub(crate) live_age_us: u64,
    #[prost(uint32, tag = "6")]
    pub(crate) counted_instances: u32,
    #[prost(uint32, tag = "7")]
    pub(crate) live_instances: u32,
    #[prost(message, repeated, tag = "8")]
    pub(crate) services: Vec<Service>,
    /// The regions of the record's rows and claims.
    #[prost(uint32, repeated, tag = "9")]
    pub(crate) regions: Vec<u32>,
    /// In the order of the regions; none where nothing is claimed.
    #[prost(float, repeated, tag = "10")]
    pub(crate) planned_rps: Vec<f32>,
    /// In the order of the regions; none where nothing spills.
    #[prost(float, repeated, tag = "11")]
    pub(crate) spilled_rps: Vec<f32>,
}

/// What they report for one service.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Service {
    #[prost(uint32, tag = "1")]
    pub(crate) service: u32,
    #[prost(uint32, tag = "2")]
    pub(crate) instances: u32,
    #[prost(float, tag = "3")]
    pub(crate) demand_rps: f32,
    /// In parts of [`WHOLE`].
    #[prost(uint32, optional, tag = "4")]
    pub(crate) healthy: Option<u32>,
    /// In the order of the record's regions, in parts of [`WHOLE`], two bytes
    /// each with the lower first; none where there is no row.
    #[prost(bytes = "vec", tag = "5")]
    pub(crate) row: Vec<u8>,
}

/// Returns the nearest encoded number that is not below `value`: a peer must
/// not know of less than what was claimed.
fn rounded_up(value: f64) -> f32 {
    let rounded = value as f32;
    if f64::from(rounded) < value {
        rounded.next_up()
    } else {
        rounded
    }
}

/// Collects the names of a message.
#[derive(Debug, Default)]
struct Names {
    names: Vec<String>,
    places: BTreeMap<String, u32>,
}

impl Names {
    fn place(&mut self, name: &str) -> u32 {
        if let Some(place) = self.places.get(name) {
            return *place;
        }
        let place = self.places.len() as u32;
        self.names.push(name.to_owned());
        self.places.insert(name.to_owned(), place);
        place
    }
}

impl From<&LoadMessage> for Load {
    fn from(message: &LoadMessage) -> Self {
        let (is_table, records) = match message {
            LoadMessage::Sum(records) => (false, records),
            LoadMessage::Table(records) => (true, records),
        };
        let mut names = Names::default();
        let records = records.iter().map(|record| write(record, &mut names));
        let records = records.collect();
        Self {
            is_table,
            names: names.names,
            records,
        }
    }
}

fn write(record: &LoadRecord, names: &mut Names) -> Record {
    let regions = regions_of(&record.sum);
    let services = record.sum.services.iter();
    let rates = |rate: fn(&Claim) -> RequestRate| {
        let claims = regions.iter().map(|region| record.sum.claims.get(region));
        let rates = claims.map(|claim| claim.map_or(0.0, |claim| rate(claim).get()));
        let rates: Vec<_> = rates.map(rounded_up).collect();
        let none = rates.iter().all(|rate| *rate == 0.0);
        if none { Vec::new() } else { rates }
    };
    Record {
        organisation: names.place(record.organisation.as_str()),
        region: names.place(record.region.as_str()),
        summed_at_us: record.summed_at.as_us(),
        oldest_age_us: age_us(record, record.oldest_at),
        live_age_us: age_us(record, record.live_since),
        counted_instances: record.sum.counted_instances,
        live_instances: record.sum.live_instances,
        services: services
            .map(|(service, view)| write_service(service, view, &regions, names))
            .collect(),
        planned_rps: rates(|claim| claim.planned_rps),
        spilled_rps: rates(|claim| claim.spilled_rps),
        regions: regions
            .iter()
            .map(|region| names.place(region.as_str()))
            .collect(),
    }
}

/// Returns all regions that rows and claims name.
fn regions_of(sum: &RegionView) -> BTreeSet<RegionId> {
    let rows = sum.services.values().flat_map(|service| service.row.keys());
    rows.chain(sum.claims.keys()).cloned().collect()
}

fn age_us(record: &LoadRecord, at: WallTime) -> u64 {
    record.summed_at.as_us().saturating_sub(at.as_us())
}

fn write_service(
    service: &ServiceId,
    view: &ServiceView,
    regions: &BTreeSet<RegionId>,
    names: &mut Names,
) -> Service {
    let shares = regions.iter().map(|region| view.row.get(region).copied());
    let parts = shares.map(|share| parts_of(share.unwrap_or_default()));
    let row = if view.row.is_empty() {
        Vec::new()
    } else {
        parts.flat_map(u16::to_le_bytes).collect()
    };
    Service {
        service: names.place(service.as_str()),
        instances: view.instances,
        demand_rps: rounded_up(view.demand_rps.get()),
        healthy: view.healthy_share.map(|share| u32::from(parts_of(share))),
        row,
    }
}

/// Returns a share in parts of [`WHOLE`].
fn parts_of(share: Share) -> u16 {
    (share.get() * f64::from(WHOLE)).round() as u16
}

/// Reads load records from their encoded form.
pub(crate) fn read_load(load: &Load) -> Result<LoadMessage, Unreadable> {
    let records = load.records.iter();
    let records: Result<Vec<_>, _> = records.map(|record| read(record, &load.names)).collect();
    Ok(if load.is_table {
        LoadMessage::Table(records?)
    } else {
        LoadMessage::Sum(records?)
    })
}

fn read(record: &Record, names: &[String]) -> Result<LoadRecord, Unreadable> {
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
    let regions = record.regions.iter().map(|place| name(names, *place));
    let regions: Vec<RegionId> = regions.collect::<Result<_, _>>()?;
    for service in &record.services {
        let id: ServiceId = name(names, service.service)?;
        sum.services.insert(id, read_service(service, &regions)?);
    }
    for (place, region) in regions.iter().enumerate() {
        let claim = Claim {
            planned_rps: rate(&record.planned_rps, place)?,
            spilled_rps: rate(&record.spilled_rps, place)?,
        };
        if claim != Claim::default() {
            sum.claims.insert(region.clone(), claim);
        }
    }
    Ok(LoadRecord {
        organisation: name::<OrganisationId>(names, record.organisation)?,
        region: name::<RegionId>(names, record.region)?,
        summed_at: before(0),
        oldest_at: before(record.oldest_age_us),
        live_since: before(record.live_age_us),
        sum,
    })
}

fn read_service(service: &Service, regions: &[RegionId]) -> Result<ServiceView, Unreadable> {
    let (parts, _) = service.row.as_chunks();
    let parts = parts.iter().map(|parts| u16::from_le_bytes(*parts));
    // The parts of a row are rounded, but together they are the whole.
    let whole: f64 = parts.clone().map(f64::from).sum();
    let shares = parts.map(|part| Share::clamped(f64::from(part) / whole));
    let row = regions.iter().cloned().zip(shares);
    let row = row.filter(|(_, share)| *share > Share::ZERO).collect();
    Ok(ServiceView {
        instances: service.instances,
        demand_rps: rate(&[service.demand_rps], 0)?,
        healthy_share: service.healthy.map(share),
        row,
    })
}

fn name<T: FromStr>(names: &[String], place: u32) -> Result<T, Unreadable> {
    let name = names.get(place as usize).ok_or(Unreadable)?;
    name.parse().map_err(|_| Unreadable)
}

/// Returns the rate at `place`, nothing where there is none.
fn rate(rates: &[f32], place: usize) -> Result<RequestRate, Unreadable> {
    let value = rates.get(place).copied().unwrap_or_default();
    RequestRate::new(f64::from(value)).map_err(|_| Unreadable)
}

fn share(parts: u32) -> Share {
    Share::clamped(f64::from(parts) / f64::from(WHOLE))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn record() -> LoadRecord {
        let region: RegionId = "khomas".parse().unwrap();
        let share = |value| Share::new(value).unwrap();
        let rate = |value| RequestRate::new(value).unwrap();
        let service = ServiceView {
            instances: 2,
            demand_rps: rate(0.1),
            healthy_share: Some(share(0.5)),
            row: [(region.clone(), share(1.0))].into(),
        };
        let claim = Claim {
            planned_rps: rate(0.1),
            spilled_rps: rate(1e9 + 0.3),
        };
        LoadRecord {
            organisation: "hamutenya".parse().unwrap(),
            region: region.clone(),
            summed_at: WallTime::from_us(9_000),
            oldest_at: WallTime::from_us(4_000),
            live_since: WallTime::from_us(8_000),
            sum: RegionView {
                counted_instances: 3,
                live_instances: 2,
                services: [("viewer".parse().unwrap(), service)].into(),
                claims: [(region, claim)].into(),
                ..RegionView::default()
            },
        }
    }

    #[test]
    fn verify_claims_never_shrink_on_the_way() {
        let sent = record();
        let message = Load::from(&LoadMessage::Table(vec![sent.clone()]));
        let LoadMessage::Table(read) = read_load(&message).unwrap() else {
            panic!("a table was sent");
        };
        let pairs = sent.sum.claims.values().zip(read[0].sum.claims.values());
        for (sent, read) in pairs {
            assert!(read.planned_rps >= sent.planned_rps);
            assert!(read.spilled_rps >= sent.spilled_rps);
        }
        assert_eq!(read[0].oldest_at, sent.oldest_at);
        assert_eq!(read[0].live_since, sent.live_since);
        assert_eq!(read[0].sum.live_instances, 2);
        assert_eq!(Load::from(&LoadMessage::Table(read)), message);
    }

    #[test]
    fn verify_records_with_unknown_names_are_unreadable() {
        let mut message = Load::from(&LoadMessage::Sum(vec![record()]));
        message.names.pop();
        assert_eq!(read_load(&message), Err(Unreadable));
    }
}
