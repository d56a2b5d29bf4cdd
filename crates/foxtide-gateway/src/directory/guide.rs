//! Selects the instances that look-ups name, and keeps track of their condition.

use super::UtilisationMeter;
use crate::datagram::Datagram;
use crate::journal::state_changes;
use foxtide_core::directory::{
    Candidate,
    Conditions,
    Selection,
    Selector, //
};
use foxtide_core::ids::RegionId;
use foxtide_core::registry::Member;
use foxtide_core::time::MonotonicTime;
use foxtide_core::units::Share;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::net::SocketAddr;

/// The most probes that a look-up sends: with some look-ups a second, a few hundred bytes a second.
const PROBES_MAX: usize = 4;

/// What a look-up names, and which instances are to be probed.
#[derive(Debug, Default)]
pub(super) struct Named {
    pub(super) addresses: Vec<SocketAddr>,
    pub(super) probes: Vec<SocketAddr>,
}

/// Directs callers to instances by what each can carry.
///
/// Locks: `conditions` and `regions` are taken one at a time, and no other is taken meanwhile.
#[derive(Debug)]
pub(crate) struct Guide {
    /// The address for datagrams of this instance.
    own: SocketAddr,
    pub(crate) meter: UtilisationMeter,
    conditions: Mutex<Conditions>,
    regions: Mutex<HashMap<RegionId, RegionSelector>>,
}

/// The selector of a region and its last result.
#[derive(Debug, Default)]
struct RegionSelector {
    selector: Selector,
    has_narrow: bool,
    doubted: usize,
}

impl Guide {
    /// Returns the guide of the instance with this address for datagrams.
    pub(crate) fn new(own: SocketAddr, meter: UtilisationMeter) -> Self {
        Self {
            own,
            meter,
            conditions: Mutex::default(),
            regions: Mutex::default(),
        }
    }

    /// Returns the datagram that probes an instance.
    pub(super) fn probe() -> Datagram {
        Datagram::probe()
    }

    /// Returns the datagram that answers a probe.
    pub(crate) fn condition(&self) -> Datagram {
        Datagram::condition(self.meter.utilisation())
    }

    /// Records a datagram of another instance.
    pub(crate) fn record_datagram(&self, from: SocketAddr, now: MonotonicTime) {
        self.conditions.lock().record_datagram(from, now);
    }

    /// Records the answer to a probe.
    pub(crate) fn record_condition(
        &self,
        from: SocketAddr,
        utilisation: Share,
        now: MonotonicTime,
    ) {
        let mut conditions = self.conditions.lock();
        conditions.record_utilisation(from, utilisation, now);
    }

    /// Forgets instances that are no members any more.
    pub(crate) fn prune(&self, members: &[SocketAddr]) {
        self.conditions
            .lock()
            .retain(|peer| members.contains(&peer));
    }

    /// Selects among the members of a region.
    pub(super) fn select(
        &self,
        region: &RegionId,
        members: &[Member],
        now: MonotonicTime,
    ) -> Named {
        let selection = {
            let candidates = self.candidates(members, now);
            let mut regions = self.regions.lock();
            let of_region = regions.entry(region.clone()).or_default();
            let selection = of_region.selector.select(&candidates, now, fastrand::f64);
            let doubted = candidates.iter().filter(|one| one.is_doubted).count();
            of_region.report(region, &selection, doubted);
            selection
        };
        let watched = selection.watched.iter();
        let watched = watched.map(|&index| members[index].datagram_address);
        let others = watched.filter(|address| *address != self.own);
        Named {
            addresses: selection
                .named()
                .map(|index| members[index].caller_address)
                .collect(),
            probes: self.conditions.lock().take_probes(others, PROBES_MAX, now),
        }
    }

    fn candidates<'a>(&self, members: &'a [Member], now: MonotonicTime) -> Vec<Candidate<'a>> {
        let mut conditions = self.conditions.lock();
        let candidate = |member: &'a Member| {
            let address = member.datagram_address;
            let is_own = address == self.own;
            Candidate {
                link_mbps: member.link_mbps,
                availability_zone: &member.availability_zone,
                utilisation: if is_own {
                    Some(self.meter.utilisation())
                } else {
                    conditions.utilisation(address, now)
                },
                is_doubted: !is_own && conditions.is_doubted(address, now),
            }
        };
        members.iter().map(candidate).collect()
    }
}

impl RegionSelector {
    /// Reports the numbers of named and doubted instances, and logs what has changed.
    fn report(&mut self, region: &RegionId, selection: &Selection, doubted: usize) {
        let (wide, narrow) = (selection.wide.len(), selection.narrow.len());
        for (group, count) in [("wide", wide), ("narrow", narrow), ("doubted", doubted)] {
            metrics::gauge!("foxtide_lookup_instances", "group" => group).set(count as f64);
        }
        let has_narrow = narrow > 0;
        if has_narrow != self.has_narrow || doubted != self.doubted {
            state_changes::lookups_changed(region, wide, narrow, doubted);
            self.has_narrow = has_narrow;
            self.doubted = doubted;
        }
    }
}
