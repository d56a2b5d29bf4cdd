//! Measures the table of organisations' API keys: memory, rebuild and look-up time.

use crate::report::{
    Limit,
    Report, //
};
use crate::resource_usage::memory_bytes;
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
                .expect("valid name"),
            priority: None,
            home_regions: Vec::new(),
            quota: Some(Quota {
                rate: RequestRate::clamped(10.0),
                burst: 10.0,
            }),
        },
        keys: (0..KEYS_EACH).map(|index| key(number, index)).collect(),
    };
    (0..ORGANISATIONS).map(entry).collect()
}

fn key(organisation: usize, index: usize) -> ApiKey {
    let text = format!("{:020x}", organisation * KEYS_EACH + index);
    text.parse().expect("valid key")
}

pub(crate) fn run(report: &mut Report) {
    let entries = entries();
    let memory_before = memory_bytes();
    let started = Instant::now();
    let table = OrganisationTable::new(entries.clone());
    let swap_ms = started.elapsed().as_secs_f64() * 1e3;
    let memory_mb = (memory_bytes() - memory_before) / 1e6;
    report.figure(
        "organisations.keys",
        table.key_count() as f64,
        "keys",
        Limit::None,
    );
    report.figure("organisations.memory", memory_mb, "MB", Limit::AtMost(32.0));
    report.figure("organisations.swap", swap_ms, "ms", Limit::None);
    let keys: Vec<ApiKey> = (0..1_000)
        .map(|number| key(number * 5 % ORGANISATIONS, number % KEYS_EACH))
        .collect();
    let started = Instant::now();
    for number in 0..LOOKUPS {
        black_box(table.find(&keys[number % keys.len()]));
    }
    let lookup_ns = started.elapsed().as_secs_f64() * 1e9 / LOOKUPS as f64;
    report.figure("organisations.lookup", lookup_ns, "ns", Limit::None);
}
