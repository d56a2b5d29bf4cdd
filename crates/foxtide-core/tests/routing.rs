//! Tests the lookup of routes, weighted splits and organisations' keys.

use foxtide_core::ids::RegionId;
use foxtide_core::placement::HomedLoad;
use foxtide_core::routing::{
    ApiKey,
    CallerLimits,
    OrganisationEntry,
    OrganisationTable,
    OrganisationTerms,
    Quota,
    Route,
    RouteDocument,
    RouteTable,
    WeightedRoundRobin,
    WeightedService,
    common_homes, //
};
use foxtide_core::units::RequestRate;
use std::time::Duration;

fn route(name: &str, host: &str, path_prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        is_idempotent: true,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(500),
        priority: 0,
        attempts_max: 2,
        services: vec![weighted("viewer", 1.0)],
        has_affinity: false,
        home_regions: Vec::new(),
        is_public: false,
    }
}

fn weighted(service: &str, weight: f64) -> WeightedService {
    WeightedService {
        service: service.parse().unwrap(),
        weight,
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    RouteTable::new(RouteDocument {
        version: 3,
        routes,
        services: Vec::new(),
        limits: CallerLimits::default(),
        organisations: None,
    })
}

#[test]
fn verify_the_longest_prefix_of_the_host_wins() {
    let table = table(vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/"),
    ]);
    let name = |host, path| table.find(host, path).map(|route| route.name.as_str());
    assert_eq!(name("a.example", "/x/y/z"), Some("long"));
    assert_eq!(name("a.example", "/x/yy"), Some("short"));
    assert_eq!(name("a.example", "/x"), None);
    assert_eq!(name("b.example", "/x/y/z"), Some("other"));
    assert_eq!(name("c.example", "/x/"), None);
}

#[test]
fn verify_a_split_stays_within_one_request_of_its_weights() {
    let services = vec![
        weighted("one", 90.0),
        weighted("two", 7.0),
        weighted("three", 3.0),
    ];
    let mut balancer = WeightedRoundRobin::default();
    let mut counts = [0.0; 3];
    for picked in 1..=1_000 {
        let service = balancer.pick(&services).unwrap();
        let index = services
            .iter()
            .position(|weighted| weighted.service == *service)
            .unwrap();
        counts[index] += 1.0;
        for (weighted, count) in services.iter().zip(counts) {
            let expected = f64::from(picked) * weighted.weight / 100.0;
            assert!(
                (count - expected).abs() <= 2.0,
                "{weighted:?}: {count} of {expected}"
            );
        }
    }
}

#[test]
fn verify_a_service_without_weight_gets_no_requests() {
    let services = vec![weighted("one", 0.0), weighted("two", 5.0)];
    let mut balancer = WeightedRoundRobin::default();
    for _ in 0..10 {
        assert_eq!(balancer.pick(&services).unwrap().as_str(), "two");
    }
}

fn organisation(name: &str, keys: &[&str], homes: &[&str], rate_rps: f64) -> OrganisationEntry {
    OrganisationEntry {
        terms: OrganisationTerms {
            organisation: name.parse().unwrap(),
            priority: None,
            home_regions: homes.iter().map(|home| home.parse().unwrap()).collect(),
            quota: (rate_rps > 0.0).then(|| Quota {
                rate: RequestRate::clamped(rate_rps),
                burst: 1.0,
            }),
        },
        keys: keys.iter().map(|key| key.parse().unwrap()).collect(),
    }
}

#[test]
fn verify_keys_identify_their_organisation_and_are_not_printed() {
    let table = OrganisationTable::new(vec![
        organisation("one", &["a", "b", "both"], &[], 0.0),
        organisation("two", &["c", "both"], &[], 0.0),
    ]);
    let find = |key: &str| {
        let found = table.find(&key.parse().unwrap())?;
        Some(found.organisation.to_string())
    };
    assert_eq!(find("a").as_deref(), Some("one"));
    assert_eq!(find("c").as_deref(), Some("two"));
    assert_eq!(find("both"), None);
    assert_eq!(find("d"), None);
    assert_eq!(table.key_count(), 3);
    assert_eq!(table.disputed(), ["two".parse().unwrap()]);
    let key: ApiKey = "s3cret".parse().unwrap();
    assert!(!format!("{key:?}{key}").contains("s3cret"));
    for invalid in ["", " ", "a b", "a\n", "\u{e9}", &"k".repeat(513)] {
        let error = invalid.parse::<ApiKey>().unwrap_err().to_string();
        assert!(
            invalid.trim().is_empty() || !error.contains(invalid),
            "{error}"
        );
    }
}

#[test]
fn verify_common_homes_are_those_that_both_allow() {
    let regions = |names: &[&str]| -> Vec<RegionId> {
        names.iter().map(|name| name.parse().unwrap()).collect()
    };
    let common = |one: &[&str], other: &[&str]| common_homes(&regions(one), &regions(other));
    assert_eq!(common(&[], &[]), Some(regions(&[])));
    assert_eq!(common(&["a"], &[]), Some(regions(&["a"])));
    assert_eq!(common(&[], &["b"]), Some(regions(&["b"])));
    assert_eq!(common(&["a", "b"], &["c", "b"]), Some(regions(&["b"])));
    assert_eq!(common(&["a"], &["b"]), None);
}

#[test]
fn verify_homed_load_follows_the_quotas() {
    let table = OrganisationTable::new(vec![
        organisation("large", &["a"], &["erongo"], 30.0),
        organisation("small", &["b"], &[], 10.0),
        organisation("unlimited", &["c"], &["oshana"], 0.0),
    ]);
    let mut expected = HomedLoad::default();
    expected.add(vec!["erongo".parse().unwrap()], 0.5);
    // An organisation without a quota counts as the mean of the others.
    expected.add(vec!["oshana".parse().unwrap()], 20.0 / 60.0);
    assert_eq!(table.homed_load(), expected);
    assert_eq!(
        OrganisationTable::default().homed_load(),
        HomedLoad::default()
    );
}
