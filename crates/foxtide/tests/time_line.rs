//! Events of a killed instance remain available at its peers.

use foxtide::node::Node;
use foxtide_config::Settings;
use foxtide_core::events::{
    Event,
    EventCode, //
};
use foxtide_testing::{
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

fn settings(name: &str, zone: &str, store: SocketAddr, seeds: &[SocketAddr]) -> Settings {
    let any_port = serde_json::json!({"listen": "127.0.0.1:0"});
    let text = serde_json::json!({
        "instance": name, "region": "khomas", "availability_zone": zone,
        "cluster": "test", "caller": any_port, "admin": any_port, "peer": any_port,
        "store_address": store, "seed_peers": seeds,
    });
    Settings::parse(name, &text.to_string()).unwrap()
}

async fn events(node: &Node, query: &str) -> Vec<Event> {
    let page = format!("/v1/events?{query}");
    let answer = http_call(node.admin_address(), Method::Get, &page, &[], b"").await;
    serde_json::from_slice(&answer.unwrap().body).unwrap()
}

/// Polls an instance's page until it shows an event. Panics after [`TIMEOUT`].
async fn wait_for_event(node: &Node, query: &str, code: EventCode) -> Event {
    let started = Instant::now();
    loop {
        let shown = events(node, query).await;
        if let Some(event) = shown.into_iter().find(|event| event.code == code) {
            return event;
        }
        assert!(started.elapsed() < TIMEOUT, "timed out waiting for {code}");
        smol::Timer::after(POLL_INTERVAL).await;
    }
}

#[test]
fn verify_a_peer_stores_the_events_of_a_killed_instance() {
    smol::block_on(async {
        let store = StoreServer::start(StoreOptions::default()).await.unwrap();
        let store_address = store.address();
        let first = Node::start(&settings("k-1", "khomas-a", store_address, &[])).unwrap();
        let seeds = [first.peer_address()];
        let second = Node::start(&settings("k-2", "khomas-b", store_address, &seeds)).unwrap();
        let stored = wait_for_event(&first, "instance=k-2", EventCode::ProcessStarted).await;
        assert_eq!(stored.instance.as_str(), "k-2");
        second.kill();
        let failed = wait_for_event(&first, "instance=k-1", EventCode::MemberFailed).await;
        assert_eq!(failed.fields.peer, Some(stored.instance.clone()));
        let stored_after = wait_for_event(&first, "instance=k-2", EventCode::ProcessStarted).await;
        assert_eq!(stored_after, stored);
        assert!(failed.clock > stored.clock);
        first.kill();
    });
}
