//! Tests of the watch on organisations' documents.

#[allow(dead_code)]
mod support;

use foxtide_config::{
    ConfigurationWatch,
    WatchOptions,
    WatchReport, //
};
use foxtide_core::units::Revision;
use foxtide_testing::{
    Availability,
    CallKind,
    StoreServer, //
};
use smol::channel::{
    Receiver,
    unbounded, //
};
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::time::Duration;
use support::{
    LONG_TIMEOUT,
    client,
    create,
    load,
    server,
    set_deadline, //
};

const KEY: &str = "foxtide/organisations/hamutenya";

fn options() -> WatchOptions {
    WatchOptions {
        call_interval_min: Duration::from_millis(1),
        role_check_interval: Duration::from_millis(1),
        wait: LONG_TIMEOUT,
        ..WatchOptions::default()
    }
}

fn start(server: &StoreServer, is_watcher: Arc<AtomicBool>) -> Receiver<WatchReport> {
    start_with(server, is_watcher, options())
}

fn start_with(
    server: &StoreServer,
    is_watcher: Arc<AtomicBool>,
    options: WatchOptions,
) -> Receiver<WatchReport> {
    let store = Arc::new(client(server, LONG_TIMEOUT));
    let role = move || is_watcher.load(Ordering::Relaxed);
    let watch = ConfigurationWatch::new(store, role, options);
    let (sender, receiver) = unbounded();
    smol::spawn(watch.run(sender)).detach();
    receiver
}

async fn next_revision(reports: &Receiver<WatchReport>) -> Revision {
    loop {
        if let WatchReport::Configuration(document) = reports.recv().await.unwrap() {
            return document.revision;
        }
    }
}

#[test]
fn verify_accepted_changes_are_reported_in_order() {
    smol::block_on(async {
        let server = server().await;
        let store = client(&server, LONG_TIMEOUT);
        let reports = start(&server, Arc::new(AtomicBool::new(true)));
        let stored = create(&store).await;
        assert_eq!(next_revision(&reports).await, Revision::new(1));
        set_deadline(&store, &stored, 0, 1_234).await.unwrap();
        assert_eq!(next_revision(&reports).await, Revision::new(2));
    });
}

/// Stores the example's document under another name.
fn put_as(server: &StoreServer, name: &str) {
    let mut document = support::document();
    document.organisation = name.parse().unwrap();
    document.revision = Revision::new(1);
    let value = foxtide_config::change::encode(&document).unwrap();
    server.set_value(&format!("foxtide/organisations/{name}"), value);
}

async fn next_name(reports: &Receiver<WatchReport>) -> String {
    loop {
        if let WatchReport::Configuration(document) = reports.recv().await.unwrap() {
            return document.organisation.to_string();
        }
    }
}

#[test]
fn verify_a_new_organisation_is_reported() {
    smol::block_on(async {
        let server = server().await;
        put_as(&server, "kunene");
        let reports = start(&server, Arc::new(AtomicBool::new(true)));
        assert_eq!(next_name(&reports).await, "kunene");
        put_as(&server, "kunene-north");
        assert_eq!(next_name(&reports).await, "kunene-north");
        put_as(&server, "omaheke");
        assert_eq!(next_name(&reports).await, "omaheke");
    });
}

#[test]
fn verify_many_organisations_are_watched_in_one_call() {
    smol::block_on(async {
        let server = server().await;
        put_as(&server, "kunene");
        let few = WatchOptions {
            individual_watches_max: 1,
            ..options()
        };
        let reports = start_with(&server, Arc::new(AtomicBool::new(true)), few);
        assert_eq!(next_name(&reports).await, "kunene");
        for name in ["omaheke", "hardap", "karas"] {
            put_as(&server, name);
            assert_eq!(next_name(&reports).await, name);
        }
    });
}

#[test]
fn verify_an_older_document_is_not_reported() {
    smol::block_on(async {
        let server = server().await;
        let store = client(&server, LONG_TIMEOUT);
        let first = create(&store).await;
        let old = server.value(KEY).unwrap();
        set_deadline(&store, &first, 0, 1_234).await.unwrap();
        let reports = start(&server, Arc::new(AtomicBool::new(true)));
        assert_eq!(next_revision(&reports).await, Revision::new(2));
        // An old value is restored with the store's own tools.
        server.set_value(KEY, old);
        let stored = load(&store).await;
        set_deadline(&store, &stored, 0, 1_111).await.unwrap();
        let stored = load(&store).await;
        assert_eq!(stored.document.revision, Revision::new(2));
        set_deadline(&store, &stored, 0, 2_222).await.unwrap();
        assert_eq!(next_revision(&reports).await, Revision::new(3));
    });
}

#[test]
fn verify_an_invalid_value_is_reported_and_skipped() {
    smol::block_on(async {
        let server = server().await;
        let store = client(&server, LONG_TIMEOUT);
        server.set_value("foxtide/organisations/broken", vec![0xff, 0xfe]);
        create(&store).await;
        let reports = start(&server, Arc::new(AtomicBool::new(true)));
        let WatchReport::Invalid { key, cause } = reports.recv().await.unwrap() else {
            panic!("the broken value comes first");
        };
        assert_eq!(key, "foxtide/organisations/broken");
        assert!(cause.contains("not UTF-8"), "{cause}");
        assert_eq!(next_revision(&reports).await, Revision::new(1));
    });
}

#[test]
fn verify_an_outage_and_its_end_are_reported() {
    smol::block_on(async {
        let server = server().await;
        server.set_availability(Availability::Refusing).await;
        let reports = start(&server, Arc::new(AtomicBool::new(true)));
        let report = reports.recv().await.unwrap();
        assert!(matches!(report, WatchReport::Outage { .. }), "{report:?}");
        server.set_availability(Availability::Serving).await;
        loop {
            match reports.recv().await.unwrap() {
                WatchReport::Outage { .. } => {}
                WatchReport::Recovered => break,
                other => panic!("{other:?}"),
            }
        }
    });
}

#[test]
fn verify_an_instance_that_is_no_watcher_makes_no_calls() {
    smol::block_on(async {
        let server = server().await;
        let store = client(&server, LONG_TIMEOUT);
        create(&store).await;
        let role = Arc::new(AtomicBool::new(false));
        let reports = start(&server, role.clone());
        let reads = server.calls().total(CallKind::Read);
        smol::Timer::after(Duration::from_millis(50)).await;
        assert_eq!(server.calls().total(CallKind::Read), reads);
        assert_eq!(server.calls().total(CallKind::Watch), 0);
        role.store(true, Ordering::Relaxed);
        assert_eq!(next_revision(&reports).await, Revision::new(1));
    });
}
