//! Faults of the simulation and the compared detection strategies.

use foxtide_core::poison::EvidenceOptions;

/// The faults of one run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// The share of requests that end their upstreams.
    pub(crate) poison_share: f64,
    /// The share of messages between instances that are lost.
    pub(crate) loss: f64,
    /// A region is partitioned from the others and the store.
    pub(crate) is_region_partitioned: bool,
    /// The share of instances that are frozen.
    pub(crate) frozen_share: f64,
    /// All instances are restarted, two a second.
    pub(crate) is_rolling: bool,
    /// All instances are killed at once.
    pub(crate) are_all_killed: bool,
    /// The store is unreachable.
    pub(crate) is_store_down: bool,
    /// The store is restored from an older copy; all instances are killed afterwards.
    pub(crate) is_store_restored: bool,
    /// The request rate, as a multiple of the usual one.
    pub(crate) load: u64,
    /// The interval at which a random upstream ends for unrelated causes, in milliseconds.
    pub(crate) flap_ms: Option<u64>,
    /// A third of the upstreams end at once.
    pub(crate) is_zone_lost: bool,
}

/// A strategy to detect and quarantine poison requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Strategy {
    pub(crate) name: &'static str,
    pub(crate) evidence: EvidenceOptions,
    /// Whether the quarantine is written to the store.
    pub(crate) has_store: bool,
    /// The number of aggregators in each region.
    pub(crate) aggregators: usize,
    /// The number of copies sent of each message.
    pub(crate) copies: u32,
}

/// The strategy of the instances.
pub(crate) fn default_strategy() -> Strategy {
    Strategy {
        name: "default",
        evidence: EvidenceOptions::default(),
        has_store: true,
        aggregators: 3,
        copies: 3,
    }
}

/// Alternatives that differ from the default strategy in one part.
pub(crate) fn alternatives() -> [Strategy; 3] {
    [
        Strategy {
            name: "two ends",
            evidence: EvidenceOptions { end_threshold: 2 },
            ..default_strategy()
        },
        Strategy {
            name: "in memory",
            has_store: false,
            ..default_strategy()
        },
        Strategy {
            name: "one aggregator, one message",
            aggregators: 1,
            copies: 1,
            ..default_strategy()
        },
    ]
}

/// Fault cases with a poison request.
pub(crate) fn with_poison() -> Vec<(&'static str, Faults)> {
    let alone = Faults {
        poison_share: 1.0 / 30.0,
        load: 1,
        ..Faults::default()
    };
    let is_region_partitioned = true;
    let is_store_down = true;
    vec![
        ("alone", alone),
        ("lost messages", Faults { loss: 0.3, ..alone }),
        (
            "a partitioned region",
            Faults {
                is_region_partitioned,
                ..alone
            },
        ),
        (
            "frozen instances",
            Faults {
                frozen_share: 0.4,
                ..alone
            },
        ),
        (
            "rolling restarts",
            Faults {
                is_rolling: true,
                ..alone
            },
        ),
        (
            "all killed",
            Faults {
                are_all_killed: true,
                ..alone
            },
        ),
        (
            "store unreachable",
            Faults {
                is_store_down,
                ..alone
            },
        ),
        (
            "restored store",
            Faults {
                is_store_restored: true,
                ..alone
            },
        ),
        ("load", Faults { load: 6, ..alone }),
        (
            "flapping upstreams",
            Faults {
                flap_ms: Some(700),
                ..alone
            },
        ),
        (
            "all together",
            Faults {
                loss: 0.1,
                is_region_partitioned,
                frozen_share: 0.3,
                is_rolling: true,
                is_store_down,
                load: 3,
                flap_ms: Some(1_400),
                ..alone
            },
        ),
    ]
}

/// Fault cases in which upstreams end for unrelated causes only.
pub(crate) fn without_poison() -> Vec<(&'static str, Faults)> {
    let alone = Faults {
        load: 1,
        ..Faults::default()
    };
    vec![
        (
            "zone lost",
            Faults {
                is_zone_lost: true,
                ..alone
            },
        ),
        (
            "an end every 1.4 s",
            Faults {
                flap_ms: Some(1_400),
                ..alone
            },
        ),
        (
            "an end every 1.4 s under load",
            Faults {
                flap_ms: Some(1_400),
                load: 6,
                ..alone
            },
        ),
        (
            "ends while the store is unreachable",
            Faults {
                flap_ms: Some(700),
                is_store_down: true,
                ..alone
            },
        ),
    ]
}

/// A case in which about two thirds of the upstreams are down at any time.
pub(crate) fn extreme() -> (&'static str, Faults) {
    let faults = Faults {
        load: 1,
        flap_ms: Some(300),
        ..Faults::default()
    };
    ("an end every 0.3 s", faults)
}
