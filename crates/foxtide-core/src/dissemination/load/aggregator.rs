//! The rounds in which sums go up and the table comes down.

use super::options::LoadOptions;
use super::record::LoadRecord;
use super::tree::TreePosition;
use crate::ids::{
    InstanceId,
    OrganisationId,
    RegionId, //
};
use crate::membership::Member;
use crate::steering::InstanceReport;
use crate::time::WallTime;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Intervals for which the sum of an instance that moved to another parent is
/// kept: by then the new parent's sum has arrived.
const MOVED_INTERVALS: u32 = 2;

/// Intervals after a change of the tree for which a region's limits are known.
const CHANGED_INTERVALS: u32 = 3;

/// Records that travel together.
#[derive(Clone, Debug, PartialEq)]
pub enum LoadMessage {
    /// The sum over the sender and all below it.
    Sum(Vec<LoadRecord>),
    /// Sums of whole regions.
    Table(Vec<LoadRecord>),
}

/// A message to send.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadEnvelope {
    /// Where to.
    pub to: SocketAddr,
    /// What.
    pub message: LoadMessage,
}

/// An instance's own report.
#[derive(Clone, Debug)]
struct OwnReport {
    report: InstanceReport,
    made_at: WallTime,
}

/// The last sum of an instance below.
#[derive(Clone, Debug)]
struct ChildSum {
    records: Vec<LoadRecord>,
    received_at: WallTime,
}

/// What a record tells of.
type RecordKey = (OrganisationId, RegionId);

/// Spreads the load of one instance and holds what it knows of all.
#[derive(Clone, Debug)]
pub struct LoadAggregator {
    pub(super) options: LoadOptions,
    pub(super) own: Member,
    pub(super) table: BTreeMap<RecordKey, LoadRecord>,
    reports: BTreeMap<OrganisationId, OwnReport>,
    children: BTreeMap<InstanceId, ChildSum>,
    position: TreePosition,
    members_version: Option<u64>,
    claims_held_until: WallTime,
    sharers_held_until: WallTime,
    summed_at: WallTime,
    broadcast_at: WallTime,
}

impl LoadAggregator {
    /// Returns the state of an instance that knows nothing yet.
    pub fn new(own: Member, options: LoadOptions) -> Self {
        Self {
            options,
            own,
            table: BTreeMap::new(),
            reports: BTreeMap::new(),
            children: BTreeMap::new(),
            position: TreePosition::default(),
            members_version: None,
            claims_held_until: WallTime::ZERO,
            sharers_held_until: WallTime::ZERO,
            summed_at: WallTime::ZERO,
            broadcast_at: WallTime::ZERO,
        }
    }

    /// Sets what this instance reports for an organisation.
    pub fn publish(&mut self, organisation: OrganisationId, report: InstanceReport, now: WallTime) {
        let made_at = now;
        self.reports
            .insert(organisation, OwnReport { report, made_at });
    }

    /// Takes the members in; `version` changes whenever they do.
    pub fn observe<'a>(
        &mut self,
        members: impl Iterator<Item = &'a Member>,
        version: u64,
        now: WallTime,
    ) {
        if self.members_version == Some(version) {
            return;
        }
        self.members_version = Some(version);
        let position = TreePosition::new(&self.own, members, self.options.fan_out);
        if position == self.position {
            return;
        }
        if position.is_root() && !self.position.is_root() {
            self.claims_held_until = now + self.options.view.claim_hold;
        }
        let changed_hold = self.interval() * CHANGED_INTERVALS;
        self.claims_held_until = self.claims_held_until.max(now + changed_hold);
        self.sharers_held_until = now + changed_hold;
        self.position = position;
    }

    /// Returns the time between two rounds.
    pub fn interval(&self) -> Duration {
        let records = self.table.values();
        let table_bytes = records.map(LoadRecord::size_bytes).sum();
        self.options.interval(table_bytes)
    }

    /// Sends what is due. Levels take their turns within each interval of the
    /// wall clock, the lowest first, so that a sum reaches the root soon after
    /// its reports were made.
    pub fn tick(&mut self, now: WallTime) -> Vec<LoadEnvelope> {
        let levels_below = self.position.depth_max - self.position.depth;
        let sum_phase = self.options.level_delay * levels_below;
        let broadcast_phase = sum_phase + self.options.inter_region_delay;
        let mut sends = Vec::new();
        if self.is_due(self.summed_at, sum_phase, now) {
            self.summed_at = now;
            self.send_sum(now, &mut sends);
        }
        if self.position.is_root() && self.is_due(self.broadcast_at, broadcast_phase, now) {
            self.broadcast_at = now;
            let table = self.table.values().cloned().collect();
            self.send_to_children(&LoadMessage::Table(table), &mut sends);
        }
        sends
    }

    /// Takes a message of `sender` in and passes on what is new.
    pub fn receive(
        &mut self,
        sender: &InstanceId,
        message: LoadMessage,
        now: WallTime,
    ) -> Vec<LoadEnvelope> {
        let mut sends = Vec::new();
        match message {
            LoadMessage::Sum(mut records) => {
                records.retain(|record| record.region == self.own.region);
                let sum = ChildSum {
                    records,
                    received_at: now,
                };
                self.children.insert(sender.clone(), sum);
            }
            LoadMessage::Table(records) => {
                let newer = self.merge_newer(records, now);
                // Roots wait for all of their kind and send one table.
                if !newer.is_empty() && !self.position.is_root() {
                    self.send_to_children(&LoadMessage::Table(newer), &mut sends);
                }
            }
        }
        sends
    }

    /// Takes in records of whole regions and returns those that were newer
    /// than the ones known.
    pub fn merge_newer(&mut self, mut records: Vec<LoadRecord>, now: WallTime) -> Vec<LoadRecord> {
        let latest = now + self.options.skew * 2;
        records.retain(|record| {
            // One from a clock far ahead would keep all others out.
            if record.summed_at > latest {
                return false;
            }
            let key = (record.organisation.clone(), record.region.clone());
            let known = self.table.get(&key);
            let newer = known.is_none_or(|known| record.summed_at > known.summed_at);
            if newer {
                self.table.insert(key, record.clone());
            }
            newer
        });
        records
    }

    /// Returns the table of all regions.
    pub fn records(&self) -> impl Iterator<Item = &LoadRecord> {
        self.table.values()
    }

    fn is_due(&self, last: WallTime, phase: Duration, now: WallTime) -> bool {
        let interval_us = self.interval().as_micros().max(1) as u64;
        let since_phase_us = now.saturating_sub(phase).as_us();
        let turn = WallTime::from_us(since_phase_us / interval_us * interval_us) + phase;
        // A clock that was put back must not silence the instance.
        last < turn || now < last
    }

    fn send_sum(&mut self, now: WallTime, sends: &mut Vec<LoadEnvelope>) {
        let mut records = self.sum(now);
        if records.is_empty() {
            return;
        }
        if let Some(to) = self.position.parent {
            let message = LoadMessage::Sum(records);
            sends.push(LoadEnvelope { to, message });
            return;
        }
        self.limit_changes(&mut records, now);
        self.merge_newer(records.clone(), now);
        for to in &self.position.other_roots {
            let message = LoadMessage::Table(records.clone());
            sends.push(LoadEnvelope { to: *to, message });
        }
    }

    /// Keeps the claims of a region's sum from falling below those of the one
    /// before it, and the number that shares by claims from rising.
    ///
    /// While a tree changes, a sum may be missing on its way from an old parent
    /// to a new one or be counted at both, and a root that died took its own
    /// claims with it.
    fn limit_changes(&self, records: &mut [LoadRecord], now: WallTime) {
        for record in records {
            let key = (record.organisation.clone(), record.region.clone());
            let Some(before) = self.table.get(&key) else {
                continue;
            };
            if now < self.claims_held_until {
                record.raise_claims_to(before);
            }
            if now < self.sharers_held_until {
                record.lower_sharers_to(before);
            }
        }
    }

    fn send_to_children(&self, message: &LoadMessage, sends: &mut Vec<LoadEnvelope>) {
        for to in self.position.children.values() {
            let message = message.clone();
            sends.push(LoadEnvelope { to: *to, message });
        }
    }

    /// Sums up this instance and all below it.
    fn sum(&mut self, now: WallTime) -> Vec<LoadRecord> {
        self.expire_children(now);
        let mut sums: BTreeMap<OrganisationId, LoadRecord> = BTreeMap::new();
        let region = &self.own.region;
        let own = self.reports.iter().map(|(organisation, own)| {
            LoadRecord::single(organisation, region, &own.report, own.made_at)
        });
        let below = self.children.values().flat_map(|child| &child.records);
        for mut record in own.chain(below.cloned()) {
            if now - record.oldest_at > self.options.view.claim_hold {
                continue;
            }
            if now - record.live_since > self.options.live_age_max {
                record.exclude_from_live();
            }
            record.summed_at = now;
            match sums.get_mut(&record.organisation) {
                Some(sum) => sum.merge(&record),
                None => {
                    sums.insert(record.organisation.clone(), record);
                }
            }
        }
        sums.into_values().collect()
    }

    /// Forgets the sums of instances that report other_members by now.
    ///
    /// One that is gone keeps its claims until they run out; one that moved
    /// is summed by its new parent.
    fn expire_children(&mut self, now: WallTime) {
        let moved_hold = self.interval() * MOVED_INTERVALS;
        let other_members = &self.position.other_members;
        let claim_hold = self.options.view.claim_hold;
        self.children.retain(|child, sum| {
            let moved = other_members.contains(child);
            let hold = if moved { moved_hold } else { claim_hold };
            now - sum.received_at <= hold
        });
    }
}
