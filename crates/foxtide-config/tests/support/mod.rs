//! Fixtures of this crate's tests.

use foxtide_config::change::{
    self,
    AcceptedChange,
    ChangeError,
    ChangeRequest,
    StoredDocument, //
};
use foxtide_config::template::Parameters;
use foxtide_config::{
    HttpStore,
    HttpStoreOptions,
    Template, //
};
use foxtide_core::ids::OrganisationId;
use foxtide_core::organisation::Organisation;
use foxtide_testing::{
    StoreOptions,
    StoreServer, //
};
use smol::future::FutureExt;
use smol::io::AsyncReadExt;
use smol::net::{
    TcpListener,
    TcpStream, //
};
use std::path::PathBuf;
use std::time::Duration;

/// Longer than any answered call.
pub(crate) const LONG_TIMEOUT: Duration = Duration::from_secs(20);

/// Short, for calls that are never answered.
pub(crate) const SHORT_TIMEOUT: Duration = Duration::from_millis(100);

pub(crate) fn example(path: &str) -> PathBuf {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    root.join("../../examples").join(path)
}

pub(crate) fn organisation_id() -> OrganisationId {
    "hamutenya".parse().expect("valid name")
}

/// Returns the example's document.
pub(crate) fn document() -> Organisation {
    let template = Template::load(&example("hamutenya/template.jsonc")).expect("valid template");
    let name = organisation_id();
    let document = template.instantiate(&name, &Parameters::new());
    document.expect("valid defaults")
}

pub(crate) async fn server() -> StoreServer {
    let server = StoreServer::start(StoreOptions::default()).await;
    server.expect("a free port")
}

pub(crate) fn client(server: &StoreServer, call_timeout: Duration) -> HttpStore {
    HttpStore::new(HttpStoreOptions {
        address: server.address(),
        call_timeout,
    })
}

/// Returns a client behind a proxy that drops the first request and its connection.
pub(crate) async fn client_behind_proxy_dropping_one_request(server: &StoreServer) -> HttpStore {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let target = server.address();
    smol::spawn(async move {
        let (mut dropped, _) = listener.accept().await.expect("a connection");
        let mut request = vec![0; 65_536];
        let received = dropped.read(&mut request).await.expect("a request");
        assert!(received > 0);
        drop(dropped);
        loop {
            let (caller, _) = listener.accept().await.expect("a connection");
            let store = TcpStream::connect(target).await.expect("the store");
            let there = smol::io::copy(caller.clone(), store.clone());
            let back = smol::io::copy(store, caller);
            smol::spawn(async { there.or(back).await }).detach();
        }
    })
    .detach();
    HttpStore::new(HttpStoreOptions {
        address,
        call_timeout: LONG_TIMEOUT,
    })
}

pub(crate) fn request(base: Option<StoredDocument>, document: Organisation) -> ChangeRequest {
    ChangeRequest {
        base,
        document,
        author: "ndapewa".to_owned(),
        summary: "a change".to_owned(),
    }
}

/// Stores the example's document and returns it.
pub(crate) async fn create(store: &HttpStore) -> StoredDocument {
    let request = request(None, document());
    change::accept(store, request).await.expect("accepted");
    load(store).await
}

pub(crate) async fn load(store: &HttpStore) -> StoredDocument {
    let stored = change::load(store, &organisation_id()).await;
    stored.expect("readable").expect("there")
}

/// Returns the document with another deadline of a service.
pub(crate) fn with_deadline(
    stored: &StoredDocument,
    service: usize,
    deadline_ms: u32,
) -> Organisation {
    let mut document = stored.document.clone();
    document.services[service].contract.deadline_ms = deadline_ms;
    document
}

pub(crate) async fn set_deadline(
    store: &HttpStore,
    base: &StoredDocument,
    service: usize,
    deadline_ms: u32,
) -> Result<AcceptedChange, ChangeError> {
    let document = with_deadline(base, service, deadline_ms);
    change::accept(store, request(Some(base.clone()), document)).await
}
