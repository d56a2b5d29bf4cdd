//! Exchange of members, load reports and configuration documents between instances.

use super::event::{
    Delivery,
    Snapshot, //
};
use super::fleet::Fleet;
use super::instance::Condition;
use foxtide_config::change::{
    ORGANISATION_PREFIX,
    decode, //
};
use foxtide_core::dissemination::Document;
use foxtide_core::ids::InstanceId;
use foxtide_core::membership::{
    Announcement,
    Output,
    Packet,
    Role,
    Rumour, //
};
use foxtide_core::store::Store;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of store watchers in each availability zone.
const WATCHERS_PER_ZONE: usize = 2;

/// Response time of a store without a fault.
const STORE_RESPONSE_TIME: Duration = Duration::from_millis(5);

/// Time within which a reachable instance must apply an accepted revision.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(10);

impl Fleet {
    /// Exchanges snapshots between a starting instance and all on the instance list.
    pub(super) fn join(&mut self, index: usize) {
        for peer in 0..self.instances.len() {
            let is_listed = !self.instances[peer].is_unlisted(self.now);
            if peer != index && is_listed {
                self.exchange_snapshots(index, peer);
            }
        }
    }

    /// Sends each of two instances the snapshot of the other.
    fn exchange_snapshots(&mut self, one: usize, other: usize) {
        let region = self.instances[other].region.clone();
        let Some(delay) = self.delay_to(one, &region) else {
            return;
        };
        let snapshots = [(one, other, delay), (other, one, delay * 2)];
        for (from, to, after) in snapshots {
            if let Some(snapshot) = self.snapshot(from) {
                self.send(to, after, Delivery::Snapshot(snapshot));
            }
        }
    }

    fn snapshot(&self, index: usize) -> Option<Snapshot> {
        let process = self.instances[index].process.as_ref()?;
        Some(Snapshot {
            members: process.membership.members().cloned().collect(),
            documents: process.documents.documents().cloned().collect(),
        })
    }

    /// Runs the periodic work of the membership protocol of an instance.
    pub(super) fn tick_membership(&mut self, index: usize) {
        let now = self.now;
        if let Some(process) = self.process(index) {
            let outputs = process.membership.tick(now);
            self.handle_outputs(index, outputs);
        }
    }

    /// Carries out the outputs of the membership protocol.
    pub(super) fn handle_outputs(&mut self, index: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, packet } => self.send_packet(index, to, packet),
                Output::Synchronise { with } => {
                    if let Some(peer) = self.instance_at(with) {
                        self.exchange_snapshots(index, peer);
                    }
                }
                Output::Announced { announcement, by } => {
                    self.handle_announcement(index, &announcement, by)
                }
                Output::Changed(_) => {}
            }
        }
    }

    fn instance_at(&self, address: SocketAddr) -> Option<usize> {
        let mut instances = self.instances.iter();
        instances.position(|instance| instance.address == address)
    }

    fn send_packet(&mut self, index: usize, to: SocketAddr, packet: Packet) {
        let Some(target) = self.instance_at(to) else {
            return;
        };
        let region = self.instances[target].region.clone();
        if let Some(delay) = self.delay_to(index, &region) {
            let sender = self.instances[index].id.clone();
            let from = self.instances[index].address;
            let delivery = Delivery::Packet {
                sender,
                from,
                packet,
            };
            self.send(target, delay, delivery);
        }
    }

    /// Passes a datagram to the membership protocol.
    pub(super) fn receive_packet(
        &mut self,
        index: usize,
        sender: &InstanceId,
        from: SocketAddr,
        packet: Packet,
    ) {
        let now = self.now;
        if let Some(process) = self.process(index) {
            let outputs = process.membership.receive(sender, from, packet, now);
            self.handle_outputs(index, outputs);
        }
    }

    /// Merges the snapshot of a peer.
    pub(super) fn receive_snapshot(&mut self, index: usize, snapshot: Snapshot) {
        let now = self.now;
        if let Some(process) = self.process(index) {
            let outputs = process.membership.merge(snapshot.members, now);
            self.handle_outputs(index, outputs);
        }
        for document in snapshot.documents {
            self.receive_document(index, &document);
        }
    }

    fn handle_announcement(&mut self, index: usize, announcement: &Announcement, by: SocketAddr) {
        let process = self.instances[index].process.as_ref();
        let wanted = process.is_some_and(|process| process.documents.is_newer(announcement));
        let Some(peer) = self.instance_at(by).filter(|_| wanted) else {
            return;
        };
        let region = self.instances[peer].region.clone();
        let delay = self.delay_to(index, &region);
        let Some((delay, snapshot)) = delay.zip(self.snapshot(peer)) else {
            return;
        };
        for document in snapshot.documents {
            self.send(index, delay * 2, Delivery::Document(document));
        }
    }

    /// Applies a document, and announces it to peers if it is newer.
    pub(super) fn receive_document(&mut self, index: usize, document: &Document) {
        let now = self.now;
        let id = self.instances[index].id.clone();
        let Some(process) = self.process(index) else {
            return;
        };
        let before = process.revision();
        if !process.apply(document, now) {
            return;
        }
        let after = process.revision();
        let rumour = Rumour::Configuration(document.announcement());
        let outputs = process.membership.spread(rumour, now);
        if after < before {
            let violation = format!("{id} reverted to {}", document.revision);
            self.record.violations.reverted_revisions.push(violation);
        }
        self.handle_outputs(index, outputs);
    }

    /// Sends the load report of an instance to all peers.
    pub(super) fn broadcast_report(&mut self, index: usize) {
        let now = self.now;
        let region = self.instances[index].region.clone();
        let from = self.instances[index].id.clone();
        let Some(heard) = self.process(index).and_then(|p| p.report(now)) else {
            return;
        };
        self.remove_ended_reports(index);
        for peer in 0..self.instances.len() {
            let target = self.instances[peer].region.clone();
            let delay = self.network.report_delay(&region, &target);
            if let Some(delay) = delay.filter(|_| peer != index) {
                let (from, heard) = (from.clone(), heard.clone());
                self.send(peer, delay, Delivery::Report { from, heard });
            }
        }
    }

    /// Removes the reports of ended instances that have left the instance list.
    fn remove_ended_reports(&mut self, index: usize) {
        let now = self.now;
        let ended = self.instances.iter();
        let ended = ended.filter(|instance| instance.is_unlisted(now));
        let ended: Vec<InstanceId> = ended.map(|instance| instance.id.clone()).collect();
        if let Some(process) = self.process(index) {
            process.reports.retain(|id, _| !ended.contains(id));
        }
    }

    /// Reads the documents from the store if the instance is a watcher or has no document.
    pub(super) fn watch_store(&mut self, index: usize) {
        let Some(answer_time) = self.store.answer_time() else {
            return;
        };
        let Some(process) = &self.instances[index].process else {
            return;
        };
        let region = &self.instances[index].region;
        if self.network.is_cut_from_store(region) {
            return;
        }
        let is_watcher = process
            .membership
            .has_role(Role::Watcher, WATCHERS_PER_ZONE);
        if !is_watcher && process.revision().is_some() {
            return;
        }
        let Ok(listing) = smol::block_on(self.store.list(ORGANISATION_PREFIX)) else {
            return;
        };
        let Some(process) = self.process(index) else {
            return;
        };
        if process.store_index == listing.index {
            return;
        }
        process.store_index = listing.index;
        for entry in listing.entries {
            if let Ok(organisation) = decode(&entry.key, &entry.value) {
                let document = Document {
                    organisation: organisation.organisation,
                    revision: organisation.revision,
                    bytes: entry.value.into(),
                };
                let delivery = Delivery::Document(document);
                self.send(index, answer_time + STORE_RESPONSE_TIME, delivery);
            }
        }
    }

    /// Checks that all reachable instances have applied the accepted revisions in time.
    pub(super) fn check_revisions(&mut self) {
        let due = self.record.accepted.iter().rev();
        let now = self.now;
        let late = |at| now > at + IN_FORCE_WITHIN;
        let due = due.copied().find(|accepted| late(accepted.at));
        let Some(due) = due else {
            return;
        };
        for instance in &self.instances {
            let reachable = instance.condition == Condition::Running
                && late(instance.started_at)
                && late(instance.disturbed_at)
                && !self.network.is_cut_off(&instance.region);
            let process = instance.process.as_ref().filter(|_| reachable);
            let is_behind = process.is_some_and(|p| p.revision() < Some(due.revision));
            if is_behind {
                let violation =
                    format!("{} has not applied {} at {now}", instance.id, due.revision);
                self.record.violations.late_revisions.push(violation);
            }
        }
    }
}
