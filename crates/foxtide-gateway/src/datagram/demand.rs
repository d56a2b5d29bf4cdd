//! Reports of demand and the sums of regions.
//!
//! Services, kinds and regions are 32-bit hashes. What does not fit into one datagram is divided
//! among several by service; each of them counts by itself.

use super::{
    Body,
    Datagram,
    milliseconds, //
};
use foxtide_core::placement::demand::{
    BusySlots,
    DemandByService,
    KindHash,
    RegionHash,
    ServiceDemand,
    ServiceHash, //
};
use prost::Message;
use std::collections::BTreeMap;
use std::time::Duration;

/// The longest datagram; receivers read no more.
const DATAGRAM_MAX_BYTES: usize = 512;

/// Units of a busy slot in messages. Of a demand for one slot, each of 100 instances measures a
/// hundredth.
const UNITS_PER_SLOT: f64 = 1_000.0;

/// The demand of one instance's callers.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct DemandReportMessage {
    /// The region of the instance.
    #[prost(fixed32, tag = "1")]
    region: u32,
    #[prost(message, repeated, tag = "2")]
    services: Vec<ServiceDemandMessage>,
    /// Whether the instance has measured too little yet and only asks for the sums.
    #[prost(bool, tag = "3")]
    is_question: bool,
}

/// The demand of regions.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct DemandSummaryMessage {
    #[prost(message, repeated, tag = "1")]
    regions: Vec<RegionSumMessage>,
}

/// The demand of a region's callers.
#[derive(Clone, PartialEq, prost::Message)]
struct RegionSumMessage {
    #[prost(fixed32, tag = "1")]
    region: u32,
    /// The time since it was summed up.
    #[prost(uint32, tag = "2")]
    age_ms: u32,
    #[prost(message, repeated, tag = "3")]
    services: Vec<ServiceDemandMessage>,
}

/// The demand for a service, in thousandths of a busy slot.
#[derive(Clone, PartialEq, prost::Message)]
struct ServiceDemandMessage {
    #[prost(fixed32, tag = "1")]
    service: u32,
    #[prost(fixed32, repeated, tag = "2")]
    kinds: Vec<u32>,
    /// The demand of each kind, in the same order.
    #[prost(uint32, repeated, tag = "3")]
    kind_slots: Vec<u32>,
    /// The regions to which requests are bound.
    #[prost(fixed32, repeated, tag = "4")]
    homes: Vec<u32>,
    /// The demand bound to each, in the same order.
    #[prost(uint32, repeated, tag = "5")]
    home_slots: Vec<u32>,
}

/// The demand of a region's callers and the time since it was summed up.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RegionSum {
    pub(crate) region: RegionHash,
    pub(crate) age: Duration,
    pub(crate) demand: DemandByService,
}

impl Datagram {
    /// Returns the report of the demand of an instance's callers.
    pub(crate) fn demand_report(region: RegionHash, demand: &DemandByService) -> Vec<Self> {
        let mut pages = vec![DemandReportMessage::new(region)];
        for (service, demand) in demand {
            let service = ServiceDemandMessage::new(*service, demand);
            if let Some(page) = pages.last_mut() {
                page.services.push(service.clone());
                if !fits(&Self::report_page(page.clone())) {
                    page.services.pop();
                    let mut next = DemandReportMessage::new(region);
                    next.services.push(service);
                    pages.push(next);
                }
            }
        }
        pages.into_iter().map(Self::report_page).collect()
    }

    /// Returns the sums of regions; one datagram without contents if there are none.
    pub(crate) fn demand_summary(sums: impl IntoIterator<Item = RegionSum>) -> Vec<Self> {
        let mut pages = vec![DemandSummaryMessage::default()];
        for sum in sums {
            append_sum(&mut pages, &sum);
        }
        pages.into_iter().map(Self::summary_page).collect()
    }

    /// Returns the question for the sums of an instance without demand to report.
    pub(crate) fn demand_question(region: RegionHash) -> Self {
        Self::report_page(DemandReportMessage {
            is_question: true,
            ..DemandReportMessage::new(region)
        })
    }

    fn report_page(message: DemandReportMessage) -> Self {
        Self {
            number: 0,
            body: Some(Body::DemandReport(message)),
        }
    }

    fn summary_page(message: DemandSummaryMessage) -> Self {
        Self {
            number: 0,
            body: Some(Body::DemandSummary(message)),
        }
    }
}

fn fits(datagram: &Datagram) -> bool {
    datagram.encoded_len() <= DATAGRAM_MAX_BYTES
}

/// Appends a sum to the last page, and to further ones as far as it does not fit.
fn append_sum(pages: &mut Vec<DemandSummaryMessage>, sum: &RegionSum) {
    append(pages, |page| page.regions.push(RegionSumMessage::new(sum)));
    for (service, demand) in &sum.demand {
        let service = ServiceDemandMessage::new(*service, demand);
        append(pages, |page| {
            if page.regions.last().map(|last| last.region) != Some(sum.region.get()) {
                page.regions.push(RegionSumMessage::new(sum));
            }
            if let Some(region) = page.regions.last_mut() {
                region.services.push(service.clone());
            }
        });
    }
}

/// Applies a change to the last page, or to a new one if it would not fit.
fn append(pages: &mut Vec<DemandSummaryMessage>, change: impl Fn(&mut DemandSummaryMessage)) {
    let mut page = pages.pop().unwrap_or_default();
    let before = page.clone();
    change(&mut page);
    if before.regions.is_empty() || fits(&Datagram::summary_page(page.clone())) {
        pages.push(page);
        return;
    }
    let mut next = DemandSummaryMessage::default();
    change(&mut next);
    pages.extend([before, next]);
}

impl DemandReportMessage {
    fn new(region: RegionHash) -> Self {
        Self {
            region: region.get(),
            services: Vec::new(),
            is_question: false,
        }
    }

    /// Tells whether the message only asks for the sums.
    pub(crate) fn is_question(&self) -> bool {
        self.is_question
    }

    /// Returns the region of the instance.
    pub(crate) fn region(&self) -> RegionHash {
        RegionHash::from_hash(self.region)
    }

    /// Returns the demand of its callers.
    pub(crate) fn demand(&self) -> DemandByService {
        demand_by_service(&self.services)
    }
}

impl DemandSummaryMessage {
    /// Returns the sums of regions.
    pub(crate) fn sums(&self) -> impl Iterator<Item = RegionSum> {
        self.regions.iter().map(|sum| RegionSum {
            region: RegionHash::from_hash(sum.region),
            age: Duration::from_millis(sum.age_ms.into()),
            demand: demand_by_service(&sum.services),
        })
    }
}

impl RegionSumMessage {
    /// Returns the message without any service.
    fn new(sum: &RegionSum) -> Self {
        Self {
            region: sum.region.get(),
            age_ms: milliseconds(sum.age),
            services: Vec::new(),
        }
    }
}

impl ServiceDemandMessage {
    fn new(service: ServiceHash, demand: &ServiceDemand) -> Self {
        let demand = demand.condensed();
        Self {
            service: service.get(),
            kinds: demand.kinds.keys().map(|kind| kind.get()).collect(),
            kind_slots: demand.kinds.values().copied().map(units).collect(),
            homes: demand.homed.keys().map(|home| home.get()).collect(),
            home_slots: demand.homed.values().copied().map(units).collect(),
        }
    }

    fn demand(&self) -> ServiceDemand {
        ServiceDemand {
            kinds: slots_by(&self.kinds, &self.kind_slots, KindHash::from_hash),
            homed: slots_by(&self.homes, &self.home_slots, RegionHash::from_hash),
        }
    }
}

fn demand_by_service(services: &[ServiceDemandMessage]) -> DemandByService {
    let service = |message: &ServiceDemandMessage| {
        let service = ServiceHash::from_hash(message.service);
        (service, message.demand())
    };
    services.iter().map(service).collect()
}

fn units(slots: BusySlots) -> u32 {
    // The conversion saturates.
    (slots.get() * UNITS_PER_SLOT).round() as u32
}

fn slots_by<K: Ord>(
    hashes: &[u32],
    units: &[u32],
    key: impl Fn(u32) -> K,
) -> BTreeMap<K, BusySlots> {
    let slots = |units: u32| BusySlots::clamped(f64::from(units) / UNITS_PER_SLOT);
    let pairs = hashes.iter().zip(units);
    pairs
        .map(|(hash, units)| (key(*hash), slots(*units)))
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn demand(draws: &mut fastrand::Rng, services: usize) -> DemandByService {
        let mut demand = DemandByService::new();
        for _ in 0..services {
            let mut of_service = ServiceDemand::default();
            for _ in 0..draws.usize(..120) {
                let slots = BusySlots::clamped(draws.f64() * 10_f64.powi(draws.i32(-4..12)));
                let kind = KindHash::from_hash(draws.u32(..));
                of_service.kinds.insert(kind, slots);
                if draws.u32(..4) == 0 {
                    let home = RegionHash::from_hash(draws.u32(..));
                    of_service.homed.insert(home, slots);
                }
            }
            demand.insert(ServiceHash::from_hash(draws.u32(..)), of_service);
        }
        demand
    }

    /// Returns the contents of a datagram as its receiver reads it.
    fn received(datagram: &Datagram) -> Body {
        let bytes = datagram.encode_to_vec();
        assert!(bytes.len() <= DATAGRAM_MAX_BYTES, "{} bytes", bytes.len());
        Datagram::decode(bytes.as_slice()).unwrap().body.unwrap()
    }

    /// Guards against datagrams that receivers cut off, and against demand that is lost where it is
    /// divided among several.
    #[test]
    fn verify_all_demand_arrives_in_datagrams_of_bounded_size() {
        let mut draws = fastrand::Rng::with_seed(3);
        for _ in 0..300 {
            let services = draws.usize(..12);
            let sent = demand(&mut draws, services);
            let region = RegionHash::from_hash(draws.u32(..));
            let mut reported = DemandByService::new();
            for datagram in Datagram::demand_report(region, &sent) {
                let Body::DemandReport(message) = received(&datagram) else {
                    panic!("not a report");
                };
                assert_eq!(message.region(), region);
                reported.extend(message.demand());
            }
            assert_eq!(
                reported.keys().collect::<Vec<_>>(),
                sent.keys().collect::<Vec<_>>()
            );
            let sums: Vec<RegionSum> = (0..draws.u32(..8))
                .map(|number| RegionSum {
                    region: RegionHash::from_hash(number),
                    age: Duration::from_millis(draws.u64(..6_000)),
                    demand: reported.clone(),
                })
                .collect();
            let mut summed: BTreeMap<RegionHash, RegionSum> = BTreeMap::new();
            for datagram in Datagram::demand_summary(sums.iter().cloned()) {
                let Body::DemandSummary(message) = received(&datagram) else {
                    panic!("not a summary");
                };
                for sum in message.sums() {
                    let known = summed.entry(sum.region).or_insert_with(|| sum.clone());
                    assert_eq!(known.age, sum.age);
                    known.demand.extend(sum.demand);
                }
            }
            let summed: Vec<RegionSum> = summed.into_values().collect();
            assert_eq!(summed.len(), sums.len());
            for (received, sent) in summed.iter().zip(&sums) {
                assert_eq!(received.demand.len(), sent.demand.len());
            }
        }
    }

    /// Guards against shares that rest on figures changed on the way.
    #[test]
    fn verify_demand_survives_a_round_trip() {
        let kinds = [(KindHash::from_hash(1), BusySlots::clamped(1.25))];
        let homed = [(RegionHash::from_hash(2), BusySlots::clamped(0.5))];
        let demand = ServiceDemand {
            kinds: kinds.into(),
            homed: homed.into(),
        };
        let sent = DemandByService::from([(ServiceHash::from_hash(9), demand)]);
        let region = RegionHash::from_hash(4);
        let datagrams = Datagram::demand_report(region, &sent);
        let Body::DemandReport(message) = received(&datagrams[0]) else {
            panic!("not a report");
        };
        assert_eq!((datagrams.len(), message.demand()), (1, sent));
    }
}
