//! How instances learn of each other, of measurements and of documents.

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

/// How many instances of each availability zone watch the store.
const WATCHERS_PER_ZONE: usize = 2;

/// The time that the store needs for an answer.
const STORE_TIME: Duration = Duration::from_millis(5);

/// How late a revision may be in force on an instance that can hear of it.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(10);

impl Fleet {
    /// Lets an instance that starts meet the instances on the platform's list.
    pub(super) fn join(&mut self, place: usize) {
        for peer in 0..self.instances.len() {
            let listed = !self.instances[peer].is_unlisted(self.now);
            if peer != place && listed {
                self.exchange(place, peer);
            }
        }
    }

    /// Lets two instances tell each other all that they know.
    fn exchange(&mut self, one: usize, other: usize) {
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

    fn snapshot(&self, place: usize) -> Option<Snapshot> {
        let process = self.instances[place].process.as_ref()?;
        Some(Snapshot {
            members: process.membership.members().cloned().collect(),
            documents: process.documents.documents().cloned().collect(),
        })
    }

    /// Lets the membership protocol of an instance do what is due.
    pub(super) fn tick_membership(&mut self, place: usize) {
        let now = self.now;
        if let Some(process) = self.process(place) {
            let outputs = process.membership.tick(now);
            self.carry_out(place, outputs);
        }
    }

    /// Does what the membership protocol asks for.
    pub(super) fn carry_out(&mut self, place: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, packet } => self.send_packet(place, to, packet),
                Output::Synchronise { with } => {
                    if let Some(peer) = self.at_address(with) {
                        self.exchange(place, peer);
                    }
                }
                Output::Announced { announcement, by } => self.announced(place, &announcement, by),
                Output::Changed(_) => {}
            }
        }
    }

    fn at_address(&self, address: SocketAddr) -> Option<usize> {
        let mut instances = self.instances.iter();
        instances.position(|instance| instance.address == address)
    }

    fn send_packet(&mut self, place: usize, to: SocketAddr, packet: Packet) {
        let Some(target) = self.at_address(to) else {
            return;
        };
        let region = self.instances[target].region.clone();
        if let Some(delay) = self.delay_to(place, &region) {
            let sender = self.instances[place].id.clone();
            let from = self.instances[place].address;
            let delivery = Delivery::Packet {
                sender,
                from,
                packet,
            };
            self.send(target, delay, delivery);
        }
    }

    /// Takes a datagram in.
    pub(super) fn take_packet(
        &mut self,
        place: usize,
        sender: &InstanceId,
        from: SocketAddr,
        packet: Packet,
    ) {
        let now = self.now;
        if let Some(process) = self.process(place) {
            let outputs = process.membership.receive(sender, from, packet, now);
            self.carry_out(place, outputs);
        }
    }

    /// Takes in all that a peer knows.
    pub(super) fn take_snapshot(&mut self, place: usize, snapshot: Snapshot) {
        let now = self.now;
        if let Some(process) = self.process(place) {
            let outputs = process.membership.merge(snapshot.members, now);
            self.carry_out(place, outputs);
        }
        for document in snapshot.documents {
            self.take_document(place, &document);
        }
    }

    fn announced(&mut self, place: usize, announcement: &Announcement, by: SocketAddr) {
        let process = self.instances[place].process.as_ref();
        let wanted = process.is_some_and(|process| process.documents.is_newer(announcement));
        let Some(peer) = self.at_address(by).filter(|_| wanted) else {
            return;
        };
        let region = self.instances[peer].region.clone();
        let delay = self.delay_to(place, &region);
        let Some((delay, snapshot)) = delay.zip(self.snapshot(peer)) else {
            return;
        };
        for document in snapshot.documents {
            self.send(place, delay * 2, Delivery::Document(document));
        }
    }

    /// Takes a document in and tells peers of it if it is new.
    pub(super) fn take_document(&mut self, place: usize, document: &Document) {
        let now = self.now;
        let id = self.instances[place].id.clone();
        let Some(process) = self.process(place) else {
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
            let breach = format!("{id} went back to {}", document.revision);
            self.record.breaches.reverted.push(breach);
        }
        self.carry_out(place, outputs);
    }

    /// Sends an instance's report to all peers that it knows.
    pub(super) fn report(&mut self, place: usize) {
        let now = self.now;
        let region = self.instances[place].region.clone();
        let from = self.instances[place].id.clone();
        let Some(heard) = self.process(place).and_then(|p| p.report(now)) else {
            return;
        };
        self.forget_ended(place);
        for peer in 0..self.instances.len() {
            let target = self.instances[peer].region.clone();
            let delay = self.network.report_delay(&region, &target);
            if let Some(delay) = delay.filter(|_| peer != place) {
                let (from, heard) = (from.clone(), heard.clone());
                self.send(peer, delay, Delivery::Report { from, heard });
            }
        }
    }

    /// Forgets the reports of instances that the platform's list shows no more.
    fn forget_ended(&mut self, place: usize) {
        let now = self.now;
        let ended = self.instances.iter();
        let ended = ended.filter(|instance| instance.is_unlisted(now));
        let ended: Vec<InstanceId> = ended.map(|instance| instance.id.clone()).collect();
        if let Some(process) = self.process(place) {
            process.reports.retain(|id, _| !ended.contains(id));
        }
    }

    /// Asks the store for documents, where the instance watches it or has none.
    pub(super) fn watch_store(&mut self, place: usize) {
        let Some(answer_time) = self.store.answer_time() else {
            return;
        };
        let Some(process) = &self.instances[place].process else {
            return;
        };
        let region = &self.instances[place].region;
        if self.network.is_cut_from_store(region) {
            return;
        }
        let watches = process
            .membership
            .has_role(Role::Watcher, WATCHERS_PER_ZONE);
        if !watches && process.revision().is_some() {
            return;
        }
        let Ok(listing) = smol::block_on(self.store.list(ORGANISATION_PREFIX)) else {
            return;
        };
        let Some(process) = self.process(place) else {
            return;
        };
        if process.store_index == listing.index {
            return;
        }
        process.store_index = listing.index;
        for entry in listing.entries {
            if let Ok(held) = decode(&entry.key, &entry.value) {
                let document = Document {
                    organisation: held.organisation,
                    revision: held.revision,
                    bytes: entry.value.into(),
                };
                let delivery = Delivery::Document(document);
                self.send(place, answer_time + STORE_TIME, delivery);
            }
        }
    }

    /// Checks that each accepted revision is in force wherever it must be.
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
            let behind = process.is_some_and(|p| p.revision() < Some(due.revision));
            if behind {
                let breach = format!("{} lacks {} at {now}", instance.id, due.revision);
                self.record.breaches.late_revision.push(breach);
            }
        }
    }
}
