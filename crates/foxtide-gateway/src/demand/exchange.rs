//! The reports, sums and knowledge of one instance.

use super::aggregators::Aggregators;
use crate::datagram::{
    Datagram,
    DemandReportMessage,
    DemandSummaryMessage,
    RegionSum, //
};
use foxtide_core::placement::demand::{
    DemandByService,
    KnownDemand,
    RegionAggregate,
    RegionHash,
    RegionSums,
    SmoothedDemand, //
};
use foxtide_core::time::MonotonicTime;
use parking_lot::Mutex;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// What an instance knows of the fleet, and the demand of its callers.
#[derive(Clone, Debug)]
pub(crate) struct FleetView {
    /// The address of this instance.
    pub(crate) own_address: SocketAddr,
    /// Its region.
    pub(crate) region: RegionHash,
    /// The number of instances in its region.
    pub(crate) members: usize,
    /// The aggregators of its region, the first choice first.
    pub(crate) aggregators: Vec<SocketAddr>,
    /// The aggregators of the other regions, if this instance is one of its own.
    pub(crate) other_aggregators: Vec<SocketAddr>,
    /// The regions that have instances.
    pub(crate) regions: BTreeSet<RegionHash>,
    /// The demand of its callers; `None` while it has measured too little.
    pub(crate) demand: Option<DemandByService>,
}

/// A datagram and the instance it is for.
pub(super) type Outgoing = (SocketAddr, Datagram);

/// The reports and sums that an instance has received. The lock is held for single steps only.
#[derive(Debug, Default)]
pub(crate) struct DemandExchange {
    received: Mutex<Received>,
}

#[derive(Debug, Default)]
struct Received {
    aggregators: Aggregators,
    aggregate: RegionAggregate,
    smoothed: SmoothedDemand,
    sums: RegionSums,
}

impl DemandExchange {
    /// Reports the demand, and sums up the region if this instance is one of its aggregators.
    pub(super) fn advance(&self, view: &FleetView, now: MonotonicTime) -> Vec<Outgoing> {
        let received = &mut *self.received.lock();
        let mut outgoing = received.report(view, now);
        if view.aggregators.contains(&view.own_address) {
            outgoing.extend(received.sum_up(view, now));
        }
        received.sums.prune(now);
        outgoing
    }

    /// Returns the demand of all regions, if it is known.
    pub(super) fn known(&self, view: &FleetView, now: MonotonicTime) -> Option<KnownDemand> {
        self.received.lock().sums.known(&view.regions, now)
    }

    /// Takes the report of an instance of `region`, the own one; returns the answer.
    pub(super) fn take_report(
        &self,
        from: SocketAddr,
        region: RegionHash,
        message: &DemandReportMessage,
        now: MonotonicTime,
    ) -> Vec<Datagram> {
        if message.region() != region {
            return Vec::new();
        }
        let received = &mut *self.received.lock();
        if !message.is_question() {
            received.aggregate.report(from, message.demand(), now);
        }
        let sums = received.sums.with_ages(now);
        Datagram::demand_summary(sums.map(|(region, age, demand)| RegionSum {
            region,
            age,
            demand,
        }))
    }

    /// Takes the sums of regions.
    pub(super) fn take_summary(
        &self,
        from: SocketAddr,
        message: &DemandSummaryMessage,
        now: MonotonicTime,
    ) {
        let received = &mut *self.received.lock();
        received.aggregators.record_answer(from, now);
        for sum in message.sums() {
            let summed_at = now.saturating_sub(sum.age);
            received.sums.merge(sum.region, summed_at, sum.demand);
        }
    }
}

impl Received {
    fn report(&mut self, view: &FleetView, now: MonotonicTime) -> Vec<Outgoing> {
        let aggregators = self.aggregators.addressees(&view.aggregators, now);
        let datagrams = match &view.demand {
            Some(demand) => Datagram::demand_report(view.region, demand),
            None => vec![Datagram::demand_question(view.region)],
        };
        let mut outgoing = Vec::new();
        for aggregator in aggregators {
            if *aggregator == view.own_address {
                if let Some(demand) = &view.demand {
                    self.aggregate.report(*aggregator, demand.clone(), now);
                }
                self.aggregators.record_answer(*aggregator, now);
            } else {
                let to_aggregator = datagrams.iter().cloned();
                outgoing.extend(to_aggregator.map(|datagram| (*aggregator, datagram)));
            }
        }
        outgoing
    }

    /// Sums up the own region and sends the sum to the aggregators of the others.
    fn sum_up(&mut self, view: &FleetView, now: MonotonicTime) -> Vec<Outgoing> {
        let Some(sum) = self.aggregate.sum(view.members, now) else {
            return Vec::new();
        };
        let inherited = self.sums.of(view.region, now);
        let demand = self.smoothed.advance(&sum, inherited, now).clone();
        let told = demand
            .iter()
            .map(|(service, demand)| (*service, demand.without_kinds()));
        let told: DemandByService = told.collect();
        self.sums.merge(view.region, now, demand);
        let datagrams = Datagram::demand_summary([RegionSum {
            region: view.region,
            age: Duration::ZERO,
            demand: told,
        }]);
        let others = view.other_aggregators.iter();
        others
            .flat_map(|other| datagrams.iter().map(|datagram| (*other, datagram.clone())))
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::datagram::Body;
    use foxtide_core::placement::demand::{
        BusySlots,
        KindHash,
        ServiceDemand,
        ServiceHash, //
    };

    const SERVICE: ServiceHash = ServiceHash::from_hash(5);

    fn address(number: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], number))
    }

    fn region(number: u16) -> RegionHash {
        RegionHash::from_hash(u32::from(number / 10))
    }

    /// Instances 10 to 13 of one region and 20 to 23 of another; the first two of each aggregate.
    const INSTANCES: [u16; 8] = [10, 11, 12, 13, 20, 21, 22, 23];

    fn view(number: u16) -> FleetView {
        let first = number / 10 * 10;
        let other = 30 - first;
        let kinds = [(KindHash::from_hash(3), BusySlots::clamped(2.0))];
        let demand = ServiceDemand {
            kinds: kinds.into(),
            ..ServiceDemand::default()
        };
        FleetView {
            own_address: address(number),
            region: region(number),
            members: 4,
            aggregators: vec![address(first), address(first + 1)],
            other_aggregators: vec![address(other), address(other + 1)],
            regions: [region(first), region(other)].into(),
            demand: Some(DemandByService::from([(SERVICE, demand)])),
        }
    }

    /// Lets all instances that are not in `cut_off` exchange for one second.
    fn exchange(fleet: &[DemandExchange], cut_off: &[u16], second: u64) {
        let now = MonotonicTime::from_ms(second * 1_000);
        let at = |address: SocketAddr| INSTANCES.iter().position(|one| *one == address.port());
        for (number, own) in INSTANCES.iter().zip(fleet) {
            let is_reached = |to: &SocketAddr| !cut_off.contains(&to.port());
            if cut_off.contains(number) {
                continue;
            }
            for (to, datagram) in own.advance(&view(*number), now) {
                let receiver = at(to).filter(|_| is_reached(&to)).map(|at| &fleet[at]);
                let (Some(receiver), Some(body)) = (receiver, datagram.body) else {
                    continue;
                };
                match body {
                    Body::DemandSummary(message) => {
                        receiver.take_summary(address(*number), &message, now);
                    }
                    Body::DemandReport(message) => {
                        let from = address(*number);
                        let answers = receiver.take_report(from, region(to.port()), &message, now);
                        for answer in answers {
                            let Some(Body::DemandSummary(message)) = answer.body else {
                                panic!("not a summary");
                            };
                            own.take_summary(to, &message, now);
                        }
                    }
                    _ => panic!("not about demand"),
                }
            }
        }
    }

    /// Returns the known demand of both regions at each instance.
    fn known(fleet: &[DemandExchange], second: u64) -> Vec<Option<[f64; 2]>> {
        let now = MonotonicTime::from_ms(second * 1_000);
        let numbered = INSTANCES.iter().zip(fleet);
        let known = numbered.map(|(number, own)| own.known(&view(*number), now));
        let slots = |known: KnownDemand| {
            [10, 20].map(|number| known.slots_of(SERVICE, region(number)).get())
        };
        known.map(|known| known.map(slots)).collect()
    }

    /// Guards against a region that stays unknown after its first aggregator has ended.
    #[test]
    fn verify_the_second_aggregator_stands_in_for_the_first() {
        let fleet: Vec<DemandExchange> = INSTANCES.map(|_| DemandExchange::default()).into();
        for second in 0..5 {
            exchange(&fleet, &[], second);
        }
        assert_eq!(known(&fleet, 5), vec![Some([8.0, 8.0]); 8]);
        // The second aggregator is asked after 3 s, and has a whole sum before the last one of the
        // first is 5 s old.
        for second in 5..12 {
            exchange(&fleet, &[10], second);
            let known = known(&fleet, second);
            assert!(
                known[1..].iter().all(Option::is_some),
                "{second} s: {known:?}"
            );
        }
        // It goes on with the mean of the first, and ends at the demand of the other three.
        assert_eq!(known(&fleet, 12)[1..], vec![Some([8.0, 8.0]); 7]);
        for second in 12..300 {
            exchange(&fleet, &[10], second);
        }
        for slots in known(&fleet, 300).into_iter().skip(1) {
            let [shrunk, same] = slots.expect("both regions are known");
            // Figures are in steps of 4.4 %.
            assert!(
                (shrunk / 6.0 - 1.0).abs() < 0.022 && same == 8.0,
                "{shrunk}, {same}"
            );
        }
    }

    /// Guards against half of a region's demand that counts as all of it.
    #[test]
    fn verify_half_a_region_is_not_taken_for_all_of_it() {
        let fleet: Vec<DemandExchange> = INSTANCES.map(|_| DemandExchange::default()).into();
        for second in 0..20 {
            let cut_off: &[u16] = if second < 5 { &[] } else { &[12, 13] };
            exchange(&fleet, cut_off, second);
            for slots in known(&fleet, second).into_iter().flatten() {
                assert!(
                    slots.iter().all(|slots| *slots >= 6.0 || second < 3),
                    "{slots:?}"
                );
            }
        }
        assert_eq!(known(&fleet, 20), vec![None; 8]);
    }
}
