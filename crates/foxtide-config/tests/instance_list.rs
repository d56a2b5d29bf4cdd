//! Tests of reading the platform's list of instances.

use foxtide_config::read_instance_list;
use foxtide_testing::{
    Availability,
    InstanceListOptions,
    InstanceListServer,
    ListedInstance,
    ListedState, //
};
use std::net::SocketAddr;
use std::time::Duration;

const LONG_TIMEOUT: Duration = Duration::from_secs(20);

fn listed(instance: &str, peer_address: SocketAddr) -> ListedInstance {
    ListedInstance {
        instance: instance.parse().unwrap(),
        region: "khomas".parse().unwrap(),
        availability_zone: "khomas-a".parse().unwrap(),
        caller_address: SocketAddr::from(([10, 0, 0, 1], 8_080)),
        peer_address,
        state: ListedState::Live,
    }
}

#[test]
fn verify_the_list_contains_peer_addresses() {
    smol::block_on(async {
        let list = InstanceListServer::start(InstanceListOptions::default())
            .await
            .unwrap();
        let peers = [7_400, 7_401].map(|port| SocketAddr::from(([10, 0, 0, 1], port)));
        list.set_instances(vec![listed("a", peers[0]), listed("b", peers[1])]);
        let read = read_instance_list(list.address(), LONG_TIMEOUT)
            .await
            .unwrap();
        assert_eq!(read, peers);
    });
}

#[test]
fn verify_errors_contain_the_address_of_the_list() {
    smol::block_on(async {
        let list = InstanceListServer::start(InstanceListOptions::default())
            .await
            .unwrap();
        list.set_availability(Availability::Failing).await;
        let error = read_instance_list(list.address(), LONG_TIMEOUT)
            .await
            .unwrap_err();
        let expected = format!("list of instances {}: status 500", list.address());
        assert_eq!(error.to_string(), expected);
        list.set_availability(Availability::Refusing).await;
        assert!(
            read_instance_list(list.address(), LONG_TIMEOUT)
                .await
                .is_err()
        );
    });
}
