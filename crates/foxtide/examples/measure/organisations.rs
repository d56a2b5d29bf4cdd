//! What the keys of organisations cost: memory, the swap of a version, a look-up.

use crate::report::{
    Limit,
    Report, //
};
use crate::usage::memory_bytes;
use foxtide_core::routing::{
    ApiKey,
    OrganisationEntry,
    OrganisationTable,
    OrganisationTerms,
    Quota, //
};
use foxtide_core::units::RequestRate;
use std::hint::black_box;
use std::time::Instant;

const ORGANISATIONS: usize = 5_000;
const KEYS_EACH: usize = 20;
const LOOKUPS: usize = 1_000_000;

fn entries() -> Vec<OrganisationEntry> {
    let entry = |number: usize| OrganisationEntry {
        terms: OrganisationTerms {
            organisation: format!("organisation-{number}")
                .parse()
                .expect("the name is valid"),
            priority: None,
            home_regions: Vec::new(),
            quota: Some(Quota {
                rate: RequestRate::clamped(10.0),
                burst: 10.0,
            }),
        },
        keys: (0..KEYS_EACH).map(|place| key(number, place)).collect(),
    };
    (0..ORGANISATIONS).map(entry).collect()
}

fn key(organisation: usize, place: usize) -> ApiKey {
    let text = format!("{:020x}", organisation * KEYS_EACH + place);
    text.parse().expect("the key is valid")
}

/// Measures 100,000 keys of 5,000 organisations.
pub(crate) fn run(report: &mut Report) {
    let entries = entries();
    let before_bytes = memory_bytes();
    let began_at = Instant::now();
    let table = OrganisationTable::new(entries.clone());
    let swap_ms = began_at.elapsed().as_secs_f64() * 1e3;
    let grown_mb = (memory_bytes() - before_bytes) / 1e6;
    report.figure(
        "organisations.keys",
        table.key_count() as f64,
        "keys",
        Limit::None,
    );
    report.figure("organisations.memory", grown_mb, "MB", Limit::AtMost(32.0));
    report.figure("organisations.swap", swap_ms, "ms", Limit::None);
    let asked: Vec<ApiKey> = (0..1_000)
        .map(|number| key(number * 5 % ORGANISATIONS, number % KEYS_EACH))
        .collect();
    let began_at = Instant::now();
    for number in 0..LOOKUPS {
        black_box(table.find(&asked[number % asked.len()]));
    }
    let lookup_ns = began_at.elapsed().as_secs_f64() * 1e9 / LOOKUPS as f64;
    report.figure("organisations.lookup", lookup_ns, "ns", Limit::None);
}
