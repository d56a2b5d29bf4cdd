//! Tests the restore of the store from a backup.

use crate::support::{
    FakeUpstream,
    Fleet,
    Instance,
    eventually,
    route, //
};
use foxtide_core::registry::{
    Registration,
    UpstreamState, //
};
use foxtide_core::routing::Route;
use foxtide_gateway::Fact;

/// Two instances and one upstream; the store is backed up before the tested change.
struct RestoreTest {
    fleet: Fleet,
    upstream: FakeUpstream,
    instances: [Instance; 2],
}

impl RestoreTest {
    fn new() -> Self {
        let fleet = Fleet::new();
        let upstream = fleet.upstream("i-1", "khomas-a");
        let instances = ["edge-1", "edge-2"].map(|name| fleet.instance(name, "khomas-a"));
        for instance in &instances {
            instance.wait_for_members(2);
        }
        fleet.store.make_backup();
        Self {
            fleet,
            upstream,
            instances,
        }
    }

    fn routes(names: &[&str]) -> Vec<Route> {
        names.iter().map(|name| route(name, true)).collect()
    }

    fn status(instance: &Instance, path: &str) -> u16 {
        instance.get(path, "request: r\r\n").head.status
    }

    /// Waits until all instances have read the current contents of the store.
    fn wait_for_all_reads(&self) {
        let marker = self.fleet.upstream("marker", "khomas-a");
        for instance in &self.instances {
            eventually("the marker upstream is used", || {
                instance.get("/safe/", "request: r\r\n");
                !marker.seen().is_empty()
            });
        }
        self.fleet.store.remove(&marker.key());
    }
}

#[test]
fn verify_a_lost_version_stays_in_force_and_is_relayed_to_a_new_instance() {
    let test = RestoreTest::new();
    test.fleet
        .configure(5, RestoreTest::routes(&["safe", "once", "new"]));
    for instance in &test.instances {
        eventually("the version is in force", || {
            RestoreTest::status(instance, "/new/") == 200
        });
    }
    test.fleet.store.restore_backup();
    test.wait_for_all_reads();
    for instance in &test.instances {
        assert_eq!(RestoreTest::status(instance, "/new/"), 200);
    }
    let started = test.fleet.instance("edge-3", "khomas-a");
    eventually("the lost version is relayed", || {
        RestoreTest::status(&started, "/new/") == 200
    });
    // A newer version replaces it everywhere.
    test.fleet
        .configure(6, RestoreTest::routes(&["safe", "once", "newest"]));
    for instance in test.instances.iter().chain([&started]) {
        eventually("the next version is in force", || {
            RestoreTest::status(instance, "/newest/") == 200
        });
    }
}

#[test]
fn verify_instances_register_again_and_none_is_considered_dead() {
    let test = RestoreTest::new();
    let late = test.fleet.instance("edge-3", "khomas-a");
    for instance in &test.instances {
        instance.wait_for_members(3);
    }
    test.fleet.store.restore_backup();
    assert_eq!(test.fleet.store.registrars().len(), 2);
    test.wait_for_all_reads();
    for instance in &test.instances {
        instance.wait_for_members(3);
    }
    eventually("the lost record is written again", || {
        test.fleet.store.registrars().len() == 3
    });
    late.wait_for_members(3);
}

#[test]
fn verify_a_draining_upstream_gets_no_requests_though_the_backup_shows_it_ready() {
    let test = RestoreTest::new();
    let other = test.fleet.upstream("i-2", "khomas-a");
    for instance in &test.instances {
        eventually("the other upstream is used", || {
            instance.get("/safe/", "request: r\r\n");
            !other.seen().is_empty()
        });
    }
    let draining = Registration {
        state: UpstreamState::Draining,
        ..test.upstream.registration()
    };
    let store = &test.fleet.store;
    store.put(&test.upstream.key(), Fact::Registered(draining));
    for instance in &test.instances {
        eventually("the draining upstream gets no requests", || {
            let before = test.upstream.seen().len();
            for _ in 0..20 {
                instance.get("/safe/", "request: r\r\n");
            }
            test.upstream.seen().len() == before
        });
    }
    let before = test.upstream.seen().len();
    store.restore_backup();
    // The running upstream registers again.
    test.fleet.register(&other);
    test.wait_for_all_reads();
    for instance in &test.instances {
        for _ in 0..40 {
            assert_eq!(RestoreTest::status(instance, "/safe/"), 200);
        }
    }
    assert_eq!(test.upstream.seen().len(), before);
}

#[test]
fn verify_an_evacuation_that_is_missing_in_the_backup_stays_for_a_while() {
    let test = RestoreTest::new();
    let elsewhere = test.fleet.upstream("i-2", "erongo-a");
    test.fleet.store.make_backup();
    let zone = "khomas-a".parse().unwrap();
    let key = "evacuated/khomas-a";
    test.fleet.store.put(key, Fact::Evacuated(zone));
    for instance in &test.instances {
        eventually("the zone gets no requests", || {
            let before = test.upstream.seen().len();
            for _ in 0..20 {
                instance.get("/safe/", "request: r\r\n");
            }
            test.upstream.seen().len() == before && !elsewhere.seen().is_empty()
        });
    }
    let before = test.upstream.seen().len();
    test.fleet.store.restore_backup();
    // The marker upstream is in the other region, as this one is evacuated.
    let marker = test.fleet.upstream("marker", "erongo-a");
    for instance in &test.instances {
        eventually("the backup is read", || {
            instance.get("/safe/", "request: r\r\n");
            !marker.seen().is_empty()
        });
    }
    for instance in &test.instances {
        for _ in 0..20 {
            instance.get("/safe/", "request: r\r\n");
        }
    }
    assert_eq!(test.upstream.seen().len(), before);
}

/// Guards against continuing from an index of before the restore, even if the new indices
/// have passed it.
#[test]
fn verify_reused_indices_are_not_mistaken_for_the_old_ones() {
    let test = RestoreTest::new();
    let lost = test.fleet.upstream("i-lost", "khomas-a");
    eventually("it is used", || {
        test.instances[0].get("/safe/", "request: r\r\n");
        !lost.seen().is_empty()
    });
    test.fleet.store.restore_backup();
    for number in 0..10 {
        let key = format!("other/{number}");
        test.fleet
            .store
            .put(&key, Fact::UpstreamUnreadable("none".parse().unwrap()));
    }
    // The lost upstream does not register again.
    for instance in &test.instances {
        eventually("it gets no requests", || {
            let before = lost.seen().len();
            for _ in 0..20 {
                instance.get("/safe/", "request: r\r\n");
            }
            lost.seen().len() == before
        });
    }
}
