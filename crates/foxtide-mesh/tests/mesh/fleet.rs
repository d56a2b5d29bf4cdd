//! A fleet of instances on loopback, and conditions to wait for.

use foxtide_core::dissemination::Document;
use foxtide_core::idempotency::ProcessNumber;
use foxtide_core::ids::InstanceId;
use foxtide_core::membership::MemberState;
use foxtide_core::units::Revision;
use foxtide_mesh::{
    Faults,
    Identity,
    Mesh,
    MeshHandle,
    MeshOptions, //
};
use std::net::SocketAddr;
use std::time::{
    Duration,
    Instant, //
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until `condition` holds.
pub(crate) fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < WAIT_TIMEOUT, "timeout: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Returns the identity of instance `number` of a fleet of three regions with
/// two availability zones each.
pub(crate) fn identity(number: usize) -> Identity {
    let region = ["khomas", "erongo", "oshana"][number % 3];
    let zone = ["a", "b"][number / 3 % 2];
    Identity {
        instance: format!("i{number}").parse().unwrap(),
        region: region.parse().unwrap(),
        availability_zone: format!("{region}-{zone}").parse().unwrap(),
        peer_address: "127.0.0.1:0".parse().unwrap(),
        caller_address: "127.0.0.1:80".parse().unwrap(),
        process: ProcessNumber::new(1),
    }
}

/// Starts instance `number`.
pub(crate) fn start(number: usize, seeds: &[SocketAddr], faults: &Faults) -> MeshHandle {
    let options = MeshOptions {
        faults: faults.clone(),
        seed: Some(number as u64),
        ..MeshOptions::default()
    };
    Mesh::start(identity(number), seeds, options).unwrap()
}

/// Starts `count` instances and waits until each lists all as usable.
pub(crate) fn start_fleet(count: usize, faults: &Faults) -> Vec<MeshHandle> {
    let first = start(0, &[], faults);
    let seeds = [first.peer_address()];
    let mut fleet = vec![first];
    fleet.extend((1..count).map(|number| start(number, &seeds, faults)));
    wait_until("all instances know all", || all_see(&fleet, &fleet));
    fleet
}

/// Returns whether the usable members of each observer are exactly `expected`.
pub(crate) fn all_see(observers: &[MeshHandle], expected: &[MeshHandle]) -> bool {
    let mut names: Vec<_> = expected
        .iter()
        .map(|handle| handle.own().instance)
        .collect();
    names.sort();
    observers.iter().all(|handle| usable(handle) == names)
}

fn usable(handle: &MeshHandle) -> Vec<InstanceId> {
    let members = handle.members().into_iter();
    let usable = members.filter(|member| member.state.is_usable());
    usable.map(|member| member.instance).collect()
}

/// Returns the state of `subject` as known to `handle`.
pub(crate) fn state_of(handle: &MeshHandle, subject: &MeshHandle) -> Option<MemberState> {
    let member = handle.member(&subject.own().instance)?;
    Some(member.state)
}

/// Returns a document of the organisation `hamutenya`.
pub(crate) fn document(revision: u64) -> Document {
    Document {
        organisation: "hamutenya".parse().unwrap(),
        revision: Revision::new(revision),
        bytes: format!("revision {revision}").into_bytes().into(),
    }
}

/// Returns whether all instances hold exactly the given revision.
pub(crate) fn all_hold(fleet: &[MeshHandle], revision: u64) -> bool {
    let wanted = vec![document(revision)];
    fleet.iter().all(|handle| handle.configurations() == wanted)
}

/// Returns the peer addresses of instances.
pub(crate) fn addresses(fleet: &[MeshHandle]) -> Vec<SocketAddr> {
    fleet.iter().map(MeshHandle::peer_address).collect()
}
