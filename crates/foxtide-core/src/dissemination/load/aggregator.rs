//! Sums load up the tree and distributes the table of all regions down it.

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

/// The number of intervals for which the sum of a child that moved to another
/// parent is kept, until the new parent's sum arrives.
const MOVED_INTERVALS: u32 = 2;

/// The number of intervals after a change of the tree for which changes of a
/// region's limits are constrained.
const CHANGED_INTERVALS: u32 = 3;

/// A message between instances.
#[derive(Clone, Debug, PartialEq)]
pub enum LoadMessage {
    /// The sum over the sender's subtree.
    Sum(Vec<LoadRecord>),
    /// Sums of whole regions.
    Table(Vec<LoadRecord>),
}

/// A message and its recipient.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadEnvelope {
    /// The recipient's address.
    pub to: SocketAddr,
    /// The message.
    pub message: LoadMessage,
}

#[derive(Clone, Debug)]
struct OwnReport {
    report: InstanceReport,
    made_at: WallTime,
}

/// The latest sum of a child.
#[derive(Clone, Debug)]
struct ChildSum {
    records: Vec<LoadRecord>,
    received_at: WallTime,
}

type RecordKey = (OrganisationId, RegionId);

/// Aggregates the load of all instances; the state of one instance.
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
    /// Creates an aggregator with an empty table.
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

    /// Sets this instance's report for an organisation.
    pub fn publish(&mut self, organisation: OrganisationId, report: InstanceReport, now: WallTime) {
        let made_at = now;
        self.reports
            .insert(organisation, OwnReport { report, made_at });
    }

    /// Updates the tree for the members; `version` changes whenever they do.
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

    /// Returns the interval between rounds.
    pub fn interval(&self) -> Duration {
        let records = self.table.values();
        let table_bytes = records.map(LoadRecord::size_bytes).sum();
        self.options.interval(table_bytes)
    }

    /// Returns the messages that are due.
    ///
    /// Within each interval of the wall clock the levels of the tree send in
    /// sequence, the lowest first, so that sums reach the root with little delay.
    pub fn tick(&mut self, now: WallTime) -> Vec<LoadEnvelope> {
        let levels_below = self.position.depth_max - self.position.depth;
        let sum_phase = self.options.level_delay * levels_below;
        let broadcast_phase = sum_phase + self.options.inter_region_delay;
        let mut envelopes = Vec::new();
        if self.is_due(self.summed_at, sum_phase, now) {
            self.summed_at = now;
            self.send_sum(now, &mut envelopes);
        }
        if self.position.is_root() && self.is_due(self.broadcast_at, broadcast_phase, now) {
            self.broadcast_at = now;
            let table = self.table.values().cloned().collect();
            self.send_to_children(&LoadMessage::Table(table), &mut envelopes);
        }
        envelopes
    }

    /// Handles a message of `sender` and returns the messages that forward it.
    pub fn receive(
        &mut self,
        sender: &InstanceId,
        message: LoadMessage,
        now: WallTime,
    ) -> Vec<LoadEnvelope> {
        let mut envelopes = Vec::new();
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
                // Roots collect the sums of all regions and send one table in `tick`.
                if !newer.is_empty() && !self.position.is_root() {
                    self.send_to_children(&LoadMessage::Table(newer), &mut envelopes);
                }
            }
        }
        envelopes
    }

    /// Merges records of whole regions and returns those that were newer.
    pub fn merge_newer(&mut self, mut records: Vec<LoadRecord>, now: WallTime) -> Vec<LoadRecord> {
        let latest = now + self.options.skew * 2;
        records.retain(|record| {
            // A record from a fast clock would block all later ones.
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
        let due_at = WallTime::from_us(since_phase_us / interval_us * interval_us) + phase;
        // A clock that was set back must not delay the next message.
        last < due_at || now < last
    }

    fn send_sum(&mut self, now: WallTime, envelopes: &mut Vec<LoadEnvelope>) {
        let mut records = self.sum(now);
        if records.is_empty() {
            return;
        }
        if let Some(to) = self.position.parent {
            let message = LoadMessage::Sum(records);
            envelopes.push(LoadEnvelope { to, message });
            return;
        }
        self.limit_changes(&mut records, now);
        self.merge_newer(records.clone(), now);
        for to in &self.position.other_roots {
            let message = LoadMessage::Table(records.clone());
            envelopes.push(LoadEnvelope { to: *to, message });
        }
    }

    /// Keeps a region's claims from falling and its numbers of sharers from rising
    /// after a change of the tree.
    ///
    /// Until the tree settles, sums may be missing or counted twice, and the
    /// claims of a failed root are lost.
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

    fn send_to_children(&self, message: &LoadMessage, envelopes: &mut Vec<LoadEnvelope>) {
        for to in self.position.children.values() {
            let message = message.clone();
            envelopes.push(LoadEnvelope { to: *to, message });
        }
    }

    /// Sums the reports of this instance's subtree.
    fn sum(&mut self, now: WallTime) -> Vec<LoadRecord> {
        self.expire_children(now);
        let mut sums: BTreeMap<OrganisationId, LoadRecord> = BTreeMap::new();
        let region = &self.own.region;
        let own = self.reports.iter().map(|(organisation, own)| {
            LoadRecord::of_instance(organisation, region, &own.report, own.made_at)
        });
        let below = self.children.values().flat_map(|child| &child.records);
        for mut record in own.chain(below.cloned()) {
            if now - record.oldest_at > self.options.view.claim_hold {
                continue;
            }
            if now - record.oldest_live_at > self.options.live_age_max {
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

    /// Removes the sums of children that moved to another parent, and expired sums
    /// of failed ones.
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
