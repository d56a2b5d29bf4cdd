//! Measures look-ups, memory, loading and changes of client blocks at target
//! size, and compares [`ClientBlocks`] with other data structures.

mod generator;
mod poptrie;
mod tables;

use crate::report::{
    Limit,
    Report, //
};
use arc_swap::ArcSwap;
use foxtide_core::blocks::{
    Block,
    ClientBlocks,
    Delta,
    Manifest, //
};
use generator::BlockGenerator;
use poptrie::Poptrie;
use std::hint::black_box;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::time::Instant;
use tables::{
    DualStack,
    EytzingerRanges,
    HashMaps,
    LinearScan,
    LookupTable,
    NO_SITE,
    SortedRanges, //
};

const CLIENTS: usize = 1_000_000;
const LINEAR_CLIENTS: usize = 200;
const CHANGED_BLOCKS: usize = 100;
const CHANGES: u64 = 20;
const SIZE_MAX_BYTES: f64 = 8_000_000.0;
const LOOKUP_MAX_US: f64 = 1.0;

pub(crate) fn run(report: &mut Report) {
    let mut generator = BlockGenerator::new();
    let blocks = generator.blocks();
    let clients = generator.clients(&blocks, CLIENTS);
    let table = ClientBlocks::new(1, generator.sites.clone(), &blocks).expect("good blocks");
    report.figure("blocks.count", table.len() as f64, "blocks", Limit::None);
    let us = mean_lookup_us(&clients, |client| table.site_of(client).is_some());
    report.figure("blocks.lookup", us, "us", Limit::AtMost(LOOKUP_MAX_US));
    let size = table.size_bytes() as f64;
    report.figure("blocks.size", size, "bytes", Limit::AtMost(SIZE_MAX_BYTES));
    measure_load(report, &table);
    measure_change(report, &table, &blocks, &mut generator);
    measure_lookups_while_changing(report, table.clone(), &blocks, &clients, &mut generator);
    let linear_clients = &clients[..LINEAR_CLIENTS];
    compare::<SortedRanges>(report, "sorted_ranges", &table, &blocks, &clients);
    compare::<EytzingerRanges>(report, "eytzinger_ranges", &table, &blocks, &clients);
    compare::<Poptrie>(report, "poptrie", &table, &blocks, &clients);
    compare::<HashMaps>(report, "baseline_hash_maps", &table, &blocks, &clients);
    compare::<LinearScan>(report, "baseline_linear", &table, &blocks, linear_clients);
}

fn mean_lookup_us(clients: &[IpAddr], mut find: impl FnMut(IpAddr) -> bool) -> f64 {
    let started = Instant::now();
    for client in clients {
        black_box(find(*client));
    }
    started.elapsed().as_secs_f64() * 1e6 / clients.len() as f64
}

/// Measures another data structure and counts look-ups whose result differs.
fn compare<T: LookupTable>(
    report: &mut Report,
    name: &str,
    table: &ClientBlocks,
    blocks: &[Block],
    clients: &[IpAddr],
) {
    let started = Instant::now();
    let other: DualStack<T> = DualStack::build(blocks);
    let build_ms = started.elapsed().as_secs_f64() * 1e3;
    let mismatches = clients.iter().filter(|client| {
        let found = table.site_of(**client).map(|site| site.site.clone());
        let index = found.and_then(|site| table.sites().index_of(&site));
        other.find(**client) != index.map_or(NO_SITE, |i| i.get().into())
    });
    let mismatches = mismatches.take(1_000).count() as f64;
    let us = mean_lookup_us(clients, |client| other.find(client) == 0);
    let figure = |what| format!("blocks.{name}.{what}");
    report.figure(&figure("lookup"), us, "us", Limit::None);
    report.figure(
        &figure("size"),
        other.size_bytes() as f64,
        "bytes",
        Limit::None,
    );
    report.figure(&figure("build"), build_ms, "ms", Limit::None);
    report.figure(
        &figure("different"),
        mismatches,
        "look-ups",
        Limit::AtMost(0.0),
    );
}

/// Measures the encoded size of the blocks and a load from the store's values.
fn measure_load(report: &mut Report, table: &ClientBlocks) {
    let (manifest, values) = Manifest::of(table);
    let manifest_size = manifest.encode().expect("a good manifest").len() as f64;
    report.figure("blocks.manifest", manifest_size, "bytes", Limit::None);
    let total: usize = values.iter().map(Vec::len).sum();
    let largest = values.iter().map(Vec::len).max().unwrap_or(0);
    report.figure("blocks.chunks", values.len() as f64, "values", Limit::None);
    report.figure("blocks.chunks_total", total as f64, "bytes", Limit::None);
    let limit = Limit::AtMost(foxtide_core::store::VALUE_MAX_BYTES as f64);
    report.figure("blocks.chunk_largest", largest as f64, "bytes", limit);
    let started = Instant::now();
    let loaded = manifest.load(values).expect("good values");
    let ms = started.elapsed().as_secs_f64() * 1e3;
    assert_eq!(loaded.len(), table.len(), "all blocks are loaded");
    report.figure("blocks.load", ms, "ms", Limit::None);
}

fn draw_delta(blocks: &[Block], generator: &mut BlockGenerator, base_revision: u64) -> Delta {
    let stride = blocks.len() / CHANGED_BLOCKS;
    let chosen = blocks.iter().step_by(stride).take(CHANGED_BLOCKS);
    let set = chosen.map(|block| Block {
        net: block.net,
        site: generator.site(),
    });
    Delta {
        base_revision,
        revision: base_revision + 1,
        set: set.collect(),
        removed: Vec::new(),
    }
}

fn measure_change(
    report: &mut Report,
    table: &ClientBlocks,
    blocks: &[Block],
    generator: &mut BlockGenerator,
) {
    let delta = draw_delta(blocks, generator, 1);
    let size = delta.encode().expect("a good delta").len() as f64;
    report.figure("blocks.delta_100.size", size, "bytes", Limit::None);
    let started = Instant::now();
    for _ in 0..CHANGES {
        black_box(table.apply(&delta).expect("a good delta"));
    }
    let ms = started.elapsed().as_secs_f64() * 1e3 / CHANGES as f64;
    report.figure("blocks.delta_100.apply", ms, "ms", Limit::None);
    // The share of a core if all 2,800 changes of a day change client blocks.
    let core_share = ms / 1e3 * 2_800.0 / 86_400.0;
    report.figure(
        "blocks.delta_100.core_share",
        core_share,
        "cores",
        Limit::AtMost(0.01),
    );
}

/// Measures look-ups while another thread applies changes and swaps tables.
fn measure_lookups_while_changing(
    report: &mut Report,
    table: ClientBlocks,
    blocks: &[Block],
    clients: &[IpAddr],
    generator: &mut BlockGenerator,
) {
    let current = Arc::new(ArcSwap::from_pointee(table));
    let done = AtomicBool::new(false);
    let mut worst_us = 0.0f64;
    let mut lookups = 0usize;
    let started = Instant::now();
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for base_revision in 1..=CHANGES {
                let changed = current
                    .load()
                    .apply(&draw_delta(blocks, generator, base_revision));
                current.store(Arc::new(changed.expect("a good delta")));
            }
            done.store(true, Ordering::Release);
        });
        while !done.load(Ordering::Acquire) {
            for batch in clients.chunks(1_000).take(100) {
                let table = current.load();
                let us = mean_lookup_us(batch, |client| table.site_of(client).is_some());
                worst_us = worst_us.max(us);
                lookups += batch.len();
            }
        }
    });
    let mean_us = started.elapsed().as_secs_f64() * 1e6 / lookups as f64;
    let limit = Limit::AtMost(LOOKUP_MAX_US);
    report.figure("blocks.lookup_while_changing", mean_us, "us", limit);
    report.figure(
        "blocks.worst_1000_while_changing",
        worst_us,
        "us",
        Limit::None,
    );
}
