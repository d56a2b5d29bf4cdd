//! Joins, leaves, failures and network partitions.

use crate::fleet::{
    addresses,
    all_see,
    identity,
    start,
    start_fleet,
    state_of,
    wait_until, //
};
use foxtide_core::membership::MemberState;
use foxtide_mesh::{
    Faults,
    Mesh,
    MeshOptions,
    Synchronisation, //
};
use std::net::SocketAddr;

#[test]
fn verify_a_killed_instance_is_removed_everywhere() {
    let mut fleet = start_fleet(8, &Faults::default());
    let killed = fleet.remove(3);
    killed.stop();
    wait_until("the killed instance is removed", || all_see(&fleet, &fleet));
}

#[test]
fn verify_two_instances_killed_at_once_are_removed_everywhere() {
    let mut fleet = start_fleet(8, &Faults::default());
    // Both instances of one zone, so that no instance of it remains to probe them.
    let killed = [fleet.remove(6), fleet.remove(0)];
    for handle in &killed {
        assert_eq!(handle.own().availability_zone.as_str(), "khomas-a");
        handle.stop();
    }
    wait_until("both are removed", || all_see(&fleet, &fleet));
}

#[test]
fn verify_a_leaving_instance_is_no_longer_used() {
    let fleet = start_fleet(7, &Faults::default());
    fleet[2].leave();
    wait_until("all know that it is leaving", || {
        let states = fleet.iter().map(|handle| state_of(handle, &fleet[2]));
        states
            .into_iter()
            .all(|state| state == Some(MemberState::Leaving))
    });
    assert!(!fleet[2].is_watcher());
    fleet[2].stop();
    wait_until("the stopped instance is dead", || {
        state_of(&fleet[0], &fleet[2]) == Some(MemberState::Dead)
    });
}

#[test]
fn verify_a_joining_instance_is_not_used_until_it_serves() {
    let fleet = start_fleet(4, &Faults::default());
    let options = MeshOptions {
        starts_joining: true,
        seed: Some(9),
        ..MeshOptions::default()
    };
    let joining = Mesh::start(identity(9), &addresses(&fleet), options).unwrap();
    let has_state = |state| {
        fleet
            .iter()
            .all(|handle| state_of(handle, &joining) == Some(state))
    };
    wait_until("all know that it is joining", || {
        has_state(MemberState::Joining)
    });
    assert!(all_see(&fleet, &fleet), "joining instance is usable");
    joining.serve();
    wait_until("all know that it serves", || has_state(MemberState::Alive));
}

#[test]
fn verify_a_restarted_instance_takes_its_place() {
    let faults = Faults::default();
    let mut fleet = start_fleet(6, &faults);
    let seeds = addresses(&fleet);
    fleet.remove(4).stop();
    let restarted = start(4, &seeds, &faults);
    let address = restarted.peer_address();
    fleet.push(restarted);
    wait_until("all know the new address", || {
        all_see(&fleet, &fleet)
            && fleet.iter().all(|handle| {
                let member = handle.member(&"i4".parse().unwrap()).unwrap();
                member.peer_address == address
            })
    });
}

#[test]
fn verify_an_instance_joins_through_mostly_dead_seeds() {
    let faults = Faults::default();
    let first = start(0, &[], &faults);
    let mut seeds: Vec<SocketAddr> = (1..20)
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
        .collect();
    seeds.push(first.peer_address());
    let second = start(1, &seeds, &faults);
    wait_until("the second instance has joined", || second.synchronised());
    assert_eq!(second.synchronisation(), Synchronisation::WithPeers(1));
    let fleet = [first, second];
    wait_until("both instances know each other", || all_see(&fleet, &fleet));
}

#[test]
fn verify_separate_fleets_merge_through_added_seeds() {
    let faults = Faults::default();
    let fleet = [start(0, &[], &faults), start(1, &[], &faults)];
    wait_until("neither has found a peer", || {
        let mut states = fleet.iter().map(|handle| handle.synchronisation());
        states.all(|state| state == Synchronisation::NoPeers)
    });
    fleet[0].add_seeds(&[fleet[1].peer_address()]);
    wait_until("both instances know each other", || all_see(&fleet, &fleet));
}

#[test]
fn verify_a_healed_partition_leaves_all_alive() {
    let faults = Faults::default();
    let fleet = start_fleet(9, &faults);
    let (isolated, rest): (Vec<_>, Vec<_>) = fleet
        .iter()
        .cloned()
        .partition(|handle| handle.own().region.as_str() == "khomas");
    faults.partition(&[addresses(&isolated), addresses(&rest)]);
    wait_until("each side sees only itself", || {
        all_see(&isolated, &isolated) && all_see(&rest, &rest)
    });
    faults.heal();
    wait_until("all instances know all again", || all_see(&fleet, &fleet));
}

#[test]
fn verify_packet_loss_leaves_all_alive() {
    let faults = Faults::default();
    let fleet = start_fleet(8, &faults);
    faults.set_loss(0.2);
    let probes = |count: u64| fleet.iter().all(|handle| handle.counts().probes >= count);
    wait_until("each instance has sent 40 probes", || probes(40));
    faults.heal();
    wait_until("all instances know all", || all_see(&fleet, &fleet));
}
