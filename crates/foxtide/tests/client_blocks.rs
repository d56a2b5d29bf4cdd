//! Client blocks are applied at every instance, even if the store fails after
//! one instance has read them.

use foxtide::node::Node;
use foxtide_config::blocks;
use foxtide_config::{
    HttpStore,
    HttpStoreOptions,
    Settings, //
};
use foxtide_core::blocks::{
    Block,
    Site,
    SiteTable, //
};
use foxtide_core::events::{
    Event,
    EventCode, //
};
use foxtide_testing::{
    Availability,
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

fn settings(name: &str, store: SocketAddr, seeds: &[SocketAddr]) -> Settings {
    let any_port = serde_json::json!({"listen": "127.0.0.1:0"});
    let text = serde_json::json!({
        "instance": name, "region": "khomas", "availability_zone": "khomas-a",
        "cluster": "test", "caller": any_port, "admin": any_port, "peer": any_port,
        "store_address": store, "seed_peers": seeds,
    });
    Settings::parse(name, &text.to_string()).unwrap()
}

fn sites() -> SiteTable {
    let site = |name: &str, region: &str| Site {
        site: name.parse().unwrap(),
        region: region.parse().unwrap(),
        alternatives: Vec::new(),
    };
    SiteTable::new(vec![site("windhoek", "khomas"), site("walvis", "erongo")]).unwrap()
}

fn block(net: &str, site: &str) -> Block {
    Block {
        net: net.parse().unwrap(),
        site: sites().index_of(&site.parse().unwrap()).unwrap(),
    }
}

/// Waits until an instance has applied a revision.
async fn wait_for_revision(node: &Node, revision: u64) {
    let started = Instant::now();
    let wanted = format!("revision={revision} ");
    loop {
        let page = "/v1/events?code=client-blocks-applied";
        let answer = http_call(node.admin_address(), Method::Get, page, &[], b"").await;
        let events: Vec<Event> = serde_json::from_slice(&answer.unwrap().body).unwrap();
        let own = |event: &&Event| event.instance == *node.recorder().instance();
        if events
            .iter()
            .filter(own)
            .any(|event| event.fields.detail.starts_with(&wanted))
        {
            assert!(
                events
                    .iter()
                    .all(|event| event.code == EventCode::ClientBlocksApplied)
            );
            return;
        }
        assert!(
            started.elapsed() < TIMEOUT,
            "timed out waiting for {wanted}"
        );
        smol::Timer::after(POLL_INTERVAL).await;
    }
}

#[test]
fn verify_blocks_are_applied_at_all_instances() {
    smol::block_on(async {
        let server = StoreServer::start(StoreOptions::default()).await.unwrap();
        let store = HttpStore::new(HttpStoreOptions {
            address: server.address(),
            ..HttpStoreOptions::default()
        });
        let first = Node::start(&settings("k-1", server.address(), &[])).unwrap();
        let seeds = [first.peer_address()];
        let others = ["k-2", "k-3"].map(|name| settings(name, server.address(), &seeds));
        let others = others.map(|settings| Node::start(&settings).unwrap());
        let whole = [block("10.0.0.0/8", "windhoek")];
        blocks::replace(&store, None, sites(), &whole)
            .await
            .unwrap();
        let base = blocks::load_manifest(&store).await.unwrap().unwrap();
        for node in others.iter().chain([&first]) {
            wait_for_revision(node, 1).await;
        }
        let set = vec![block("10.1.0.0/16", "walvis")];
        blocks::change(&store, &base, set, Vec::new())
            .await
            .unwrap();
        wait_for_revision(&first, 2).await;
        server.set_availability(Availability::Refusing).await;
        for node in &others {
            wait_for_revision(node, 2).await;
        }
        first.kill();
        others.into_iter().for_each(Node::kill);
    });
}
