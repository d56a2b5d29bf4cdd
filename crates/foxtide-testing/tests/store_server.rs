//! Tests that the store test server follows Consul's HTTP API.

use foxtide_testing::{
    Availability,
    CallKind,
    HttpAnswer,
    StoreOptions,
    StoreServer,
    http_call, //
};
use http_types::Method;
use serde_json::Value;
use smol::Task;

const KEY: &str = "/v1/kv/foxtide/organisations/kluisdepot";

async fn store() -> StoreServer {
    StoreServer::start(StoreOptions::default()).await.unwrap()
}

async fn call(store: &StoreServer, method: Method, path: &str, body: &str) -> HttpAnswer {
    let answer = http_call(store.address(), method, path, &[], body.as_bytes());
    answer.await.unwrap()
}

async fn put(store: &StoreServer, path: &str, body: &str) -> String {
    call(store, Method::Put, path, body).await.text()
}

async fn get(store: &StoreServer, path: &str) -> HttpAnswer {
    call(store, Method::Get, path, "").await
}

async fn index(store: &StoreServer, path: &str) -> u64 {
    let answer = get(store, path).await;
    answer.header("x-consul-index").unwrap().parse().unwrap()
}

async fn open_session(store: &StoreServer, ttl: &str) -> String {
    let body = format!(r#"{{"Name":"test","TTL":"{ttl}","LockDelay":"0s"}}"#);
    let answer = call(store, Method::Put, "/v1/session/create", &body).await;
    let value: Value = serde_json::from_slice(&answer.body).unwrap();
    value["ID"].as_str().unwrap().to_owned()
}

#[test]
fn verify_check_and_set_refuses_a_stale_index() {
    smol::block_on(async {
        let store = store().await;
        assert_eq!(get(&store, KEY).await.status, 404);
        assert_eq!(put(&store, &format!("{KEY}?cas=0"), "a").await, "true");
        assert_eq!(put(&store, &format!("{KEY}?cas=0"), "b").await, "false");
        let found = index(&store, KEY).await;
        let path = format!("{KEY}?cas={found}");
        assert_eq!(put(&store, &path, "c").await, "true");
        assert_eq!(put(&store, &path, "d").await, "false");
        assert_eq!(get(&store, &format!("{KEY}?raw")).await.body, b"c");
        assert_eq!(
            call(&store, Method::Delete, &path, "").await.text(),
            "false"
        );
        assert_eq!(store.calls().total(CallKind::Write), 5);
    });
}

#[test]
fn verify_an_entry_has_the_published_form() {
    smol::block_on(async {
        let store = store().await;
        put(&store, KEY, "hello").await;
        let answer = get(&store, "/v1/kv/foxtide/?recurse").await;
        let entries: Value = serde_json::from_slice(&answer.body).unwrap();
        let entry = &entries[0];
        assert_eq!(entry["Key"], "foxtide/organisations/kluisdepot");
        assert_eq!(entry["Value"], "aGVsbG8=");
        assert_eq!(entry["ModifyIndex"], entry["CreateIndex"]);
        assert_eq!(entry["LockIndex"], 0);
        assert_eq!(entry.get("Session"), None);
    });
}

#[test]
fn verify_a_watch_wakes_for_changes_and_deletions() {
    smol::block_on(async {
        let store = store().await;
        put(&store, KEY, "a").await;
        for (watched, method) in [Method::Put, Method::Delete].into_iter().enumerate() {
            let seen = index(&store, "/v1/kv/foxtide/?recurse").await;
            let address = store.address();
            let path = format!("/v1/kv/foxtide/?recurse&index={seen}&wait=60s");
            let watch: Task<HttpAnswer> = smol::spawn(async move {
                let answer = http_call(address, Method::Get, &path, &[], b"");
                answer.await.unwrap()
            });
            while store.calls().total(CallKind::Watch) == watched as u64 {
                smol::future::yield_now().await;
            }
            call(&store, method, KEY, "b").await;
            let woken = watch.await;
            assert!(
                woken
                    .header("x-consul-index")
                    .unwrap()
                    .parse::<u64>()
                    .unwrap()
                    > seen
            );
        }
    });
}

#[test]
fn verify_a_lease_has_one_holder_until_it_lapses() {
    smol::block_on(async {
        let store = store().await;
        let lasting = open_session(&store, "60s").await;
        let short = open_session(&store, "40ms").await;
        let path = |verb: &str, session: &str| format!("/v1/kv/lease?{verb}={session}");
        assert_eq!(put(&store, &path("acquire", &short), "s").await, "true");
        assert_eq!(put(&store, &path("acquire", &lasting), "l").await, "false");
        assert_eq!(put(&store, &path("release", &lasting), "l").await, "false");
        while put(&store, &path("acquire", &lasting), "l").await != "true" {
            smol::future::yield_now().await;
        }
        let renewal = format!("/v1/session/renew/{short}");
        assert_eq!(call(&store, Method::Put, &renewal, "").await.status, 404);
        assert_eq!(put(&store, &path("release", &short), "s").await, "false");
        assert_eq!(
            put(&store, &path("release", &lasting), "free").await,
            "true"
        );
        assert_eq!(store.value("lease").unwrap(), b"free");
    });
}

#[test]
fn verify_a_lost_answer_follows_a_write_that_took_effect() {
    smol::block_on(async {
        let store = store().await;
        store.lose_answers(1);
        let answer = http_call(store.address(), Method::Put, KEY, &[], b"kept").await;
        assert!(answer.is_err());
        assert_eq!(get(&store, &format!("{KEY}?raw")).await.body, b"kept");
    });
}

#[test]
fn verify_an_outage_keeps_stored_values() {
    smol::block_on(async {
        let store = store().await;
        put(&store, KEY, "a").await;
        store.set_availability(Availability::Refusing).await;
        let refused = http_call(store.address(), Method::Get, KEY, &[], b"").await;
        assert!(refused.is_err());
        store.set_availability(Availability::Failing).await;
        assert_eq!(put(&store, KEY, "b").await, "outage");
        store.set_availability(Availability::Serving).await;
        assert_eq!(get(&store, &format!("{KEY}?raw")).await.body, b"a");
    });
}

#[test]
fn verify_a_value_above_the_limit_is_refused() {
    smol::block_on(async {
        let store = store().await;
        let large = "x".repeat(1_000_001);
        assert_eq!(call(&store, Method::Put, KEY, &large).await.status, 413);
        assert_eq!(store.value("foxtide/organisations/kluisdepot"), None);
    });
}
