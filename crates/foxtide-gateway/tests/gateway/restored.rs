//! A store that comes back from an older copy.

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

/// Two instances and one upstream; a copy of the store is made before the change that the
/// test is of.
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

    /// Waits until all instances have read what the store holds now.
    fn wait_for_all_reads(&self) {
        let mark = self.fleet.upstream("mark", "khomas-a");
        for instance in &self.instances {
            eventually("the mark is used", || {
                instance.get("/safe/", "request: r\r\n");
                !mark.seen().is_empty()
            });
        }
        self.fleet.store.remove(&mark.key());
    }
}

#[test]
fn verify_a_version_in_force_stays_and_is_told_to_one_that_starts() {
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
    eventually("the lost version is told", || {
        RestoreTest::status(&started, "/new/") == 200
    });
    // The operators write again; a newer version takes its place everywhere.
    test.fleet
        .configure(6, RestoreTest::routes(&["safe", "once", "newest"]));
    for instance in test.instances.iter().chain([&started]) {
        eventually("the next version is in force", || {
            RestoreTest::status(instance, "/newest/") == 200
        });
    }
}

#[test]
fn verify_instances_announce_themselves_again_and_nobody_is_taken_for_dead() {
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
fn verify_an_upstream_that_was_leaving_gets_nothing_though_the_copy_shows_it_ready() {
    let test = RestoreTest::new();
    let other = test.fleet.upstream("i-2", "khomas-a");
    for instance in &test.instances {
        eventually("the other upstream is used", || {
            instance.get("/safe/", "request: r\r\n");
            !other.seen().is_empty()
        });
    }
    let leaving = Registration {
        state: UpstreamState::Draining,
        ..test.upstream.registration()
    };
    let store = &test.fleet.store;
    store.put(&test.upstream.key(), Fact::Registered(leaving));
    for instance in &test.instances {
        eventually("the leaving upstream gets nothing", || {
            let before = test.upstream.seen().len();
            for _ in 0..20 {
                instance.get("/safe/", "request: r\r\n");
            }
            test.upstream.seen().len() == before
        });
    }
    let before = test.upstream.seen().len();
    store.restore_backup();
    // Of the lost registrations the living ones are written again.
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
fn verify_an_evacuation_that_is_missing_in_the_copy_stays_for_a_while() {
    let test = RestoreTest::new();
    let elsewhere = test.fleet.upstream("i-2", "erongo-a");
    test.fleet.store.make_backup();
    let zone = "khomas-a".parse().unwrap();
    let key = "evacuated/khomas-a";
    test.fleet.store.put(key, Fact::Evacuated(zone));
    for instance in &test.instances {
        eventually("the zone gets nothing", || {
            let before = test.upstream.seen().len();
            for _ in 0..20 {
                instance.get("/safe/", "request: r\r\n");
            }
            test.upstream.seen().len() == before && !elsewhere.seen().is_empty()
        });
    }
    let before = test.upstream.seen().len();
    test.fleet.store.restore_backup();
    // The mark stands in the other region: this one's upstreams get nothing.
    let mark = test.fleet.upstream("mark", "erongo-a");
    for instance in &test.instances {
        eventually("the copy is read", || {
            instance.get("/safe/", "request: r\r\n");
            !mark.seen().is_empty()
        });
    }
    for instance in &test.instances {
        for _ in 0..20 {
            instance.get("/safe/", "request: r\r\n");
        }
    }
    assert_eq!(test.upstream.seen().len(), before);
}

/// A position of before means nothing to the store, also where the numbers have gone past
/// it by the time of the next question.
#[test]
fn verify_numbers_that_are_given_out_again_are_not_taken_for_the_old_ones() {
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
    // It does not come back: it is gone once that is known.
    for instance in &test.instances {
        eventually("it gets nothing", || {
            let before = lost.seen().len();
            for _ in 0..20 {
                instance.get("/safe/", "request: r\r\n");
            }
            lost.seen().len() == before
        });
    }
}
