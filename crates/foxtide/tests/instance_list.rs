//! An instance without seeds joins through the platform's list of instances.

use foxtide::node::Node;
use foxtide_config::Settings;
use foxtide_testing::{
    InstanceListOptions,
    InstanceListServer,
    ListedInstance,
    ListedState,
    StoreOptions,
    StoreServer,
    http_call, //
};
use http_types::Method;
use std::net::SocketAddr;
use std::time::{
    Duration,
    Instant, //
};

const TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

fn settings(name: &str, store: SocketAddr, list: SocketAddr) -> Settings {
    let any_port = serde_json::json!({"listen": "127.0.0.1:0"});
    let text = serde_json::json!({
        "instance": name, "region": "khomas", "availability_zone": "khomas-a",
        "cluster": "listed", "caller": any_port, "admin": any_port, "peer": any_port,
        "store_address": store, "instance_list_address": list,
    });
    Settings::parse(name, &text.to_string()).unwrap()
}

/// Returns the number of instances that an instance knows.
async fn known_instances(node: &Node) -> usize {
    let answer = http_call(node.admin_address(), Method::Get, "/v1/instances", &[], b"").await;
    let rows: serde_json::Value = serde_json::from_slice(&answer.unwrap().body).unwrap();
    rows.as_array().map_or(0, Vec::len)
}

#[test]
fn verify_an_instance_without_seeds_joins_through_the_list() {
    smol::block_on(async {
        let store = StoreServer::start(StoreOptions::default()).await.unwrap();
        let list = InstanceListServer::start(InstanceListOptions::default())
            .await
            .unwrap();
        let first = Node::start(&settings("k-1", store.address(), list.address())).unwrap();
        list.set_instances(vec![ListedInstance {
            instance: "k-1".parse().unwrap(),
            region: "khomas".parse().unwrap(),
            availability_zone: "khomas-a".parse().unwrap(),
            caller_address: first.caller_address(),
            peer_address: first.peer_address(),
            state: ListedState::Live,
        }]);
        let second = Node::start(&settings("k-2", store.address(), list.address())).unwrap();
        let started = Instant::now();
        while known_instances(&first).await < 2 || known_instances(&second).await < 2 {
            assert!(
                started.elapsed() < TIMEOUT,
                "timed out waiting for the second instance to join"
            );
            smol::Timer::after(POLL_INTERVAL).await;
        }
        first.kill();
        second.kill();
    });
}
