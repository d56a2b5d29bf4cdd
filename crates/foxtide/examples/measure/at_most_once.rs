//! Simulates non-idempotent requests under faults with several at-most-once policies,
//! and measures the table of idempotency keys.

mod fleet;
mod policy;
mod process_faults;
mod simulation;
mod state;
mod store_policy;

use crate::report::{
    Limit,
    Report, //
};
use fleet::{
    Fleet,
    SIMULATION_START, //
};
use foxtide_core::idempotency::{
    Begin,
    IdempotencyKey,
    Table,
    TableOptions, //
};
use foxtide_core::time::WallTime;
use policy::{
    Affinity,
    Answer,
    NamedOwner,
    Policy,
    fingerprint,
    owner, //
};
use simulation::{
    SimulationOptions,
    Tally, //
};
use std::fs;
use std::time::{
    Duration,
    Instant, //
};
use store_policy::{
    LeasedRanges,
    RecordEach, //
};

/// Maximum rate of writes to the store, for all purposes.
const STORE_WRITES_PER_S: f64 = 300.0;

const TABLE_KEYS: usize = 1_000_000;
const PAGE_BYTES: f64 = 4_096.0;

const TARGET_RPS: f64 = 590_000.0;
const TARGET_INSTANCES: f64 = 600.0;

/// Share of the requests that are non-idempotent and carry a key.
const TARGET_KEYED_SHARE: f64 = 0.1;

pub(crate) fn run(report: &mut Report) {
    let options = SimulationOptions::default();
    let instances = options.instances;
    let tally = simulate(NamedOwner::new(instances), options);
    report_tally(report, "named_owner", &tally, &options, Limit::AtMost(0.0));
    let alternatives = [
        (
            "leased_ranges",
            simulate(LeasedRanges::new(instances, SIMULATION_START), options),
        ),
        (
            "record_each",
            simulate(RecordEach::new(SIMULATION_START), options),
        ),
        ("affinity", simulate(Affinity::new(instances), options)),
    ];
    for (name, tally) in alternatives {
        report_tally(report, name, &tally, &options, Limit::None);
    }
    measure_table(report);
}

fn simulate<P: Policy>(policy: P, options: SimulationOptions) -> Tally {
    Fleet::new(policy, options).run()
}

fn report_tally(
    report: &mut Report,
    policy: &str,
    tally: &Tally,
    options: &SimulationOptions,
    goal: Limit,
) {
    let requests = options.requests as f64;
    let mut figure = |name: &str, value: f64, unit: &str, limit: Limit| {
        report.figure(&format!("at_most_once.{policy}.{name}"), value, unit, limit);
    };
    figure("doubled_runs", tally.duplicated as f64, "requests", goal);
    figure("false_not_run", tally.false_not_run as f64, "answers", goal);
    let unknown = tally.unknown_without_fault as f64;
    figure("unknown_without_a_fault", unknown, "requests", goal);
    let share = |count: u64| count as f64 / requests;
    figure(
        "touched_by_a_fault",
        share(tally.affected),
        "share",
        Limit::None,
    );
    figure("unknown", share(tally.unknown), "share", Limit::None);
    figure("not_run", share(tally.not_run), "share", Limit::None);
    figure("done", share(tally.done), "share", Limit::None);
    figure(
        "redirects",
        share(tally.redirects),
        "1/request",
        Limit::None,
    );
    let writes = tally.store_writes as f64 / tally.seconds;
    let writes_limit = match goal {
        Limit::None => Limit::None,
        _ => Limit::AtMost(STORE_WRITES_PER_S),
    };
    figure("store_writes", writes, "1/s", writes_limit);
}

/// Fills a table with ended keys to find their size, then times new keys.
fn measure_table(report: &mut Report) {
    let owner = owner(0, 0);
    let options = TableOptions {
        keys_max: TABLE_KEYS * 2,
        ..TableOptions::default()
    };
    let before_bytes = resident_bytes();
    let mut table: Table<Answer> = Table::new(owner.clone(), options);
    let mint = |number: usize| {
        let minted_at = SIMULATION_START + Duration::from_micros(number as u64 * 200);
        let mut random = [0; 10];
        random[..8].copy_from_slice(&(number as u64).to_le_bytes());
        IdempotencyKey::mint(owner.clone(), minted_at, random)
    };
    let now = SIMULATION_START + Duration::from_secs(200);
    for number in 0..TABLE_KEYS {
        let Begin::Run(claim) = table.begin(&mint(number), fingerprint(), now) else {
            unreachable!("the table has room");
        };
        table.mark_written(&claim);
        let _ = table.abandon(claim);
    }
    let key_bytes = (resident_bytes() - before_bytes) / TABLE_KEYS as f64;
    report.figure("at_most_once.key", key_bytes, "bytes", Limit::AtMost(200.0));
    measure_begin(report, &mut table, &mint, now);
    let keys = TARGET_RPS / TARGET_INSTANCES * TARGET_KEYED_SHARE * 300.0;
    report.figure(
        "at_most_once.target.keys",
        keys,
        "keys",
        Limit::AtMost(65_536.0),
    );
    let target_mb = keys * key_bytes / 1e6;
    report.figure(
        "at_most_once.target.table",
        target_mb,
        "MB",
        Limit::AtMost(8.0),
    );
}

fn measure_begin(
    report: &mut Report,
    table: &mut Table<Answer>,
    mint: &impl Fn(usize) -> IdempotencyKey,
    now: WallTime,
) {
    let rounds = TABLE_KEYS / 10;
    let fresh: Vec<IdempotencyKey> = (TABLE_KEYS..TABLE_KEYS + rounds).map(mint).collect();
    let started = Instant::now();
    for key in &fresh {
        if let Begin::Run(claim) = table.begin(key, fingerprint(), now) {
            table.mark_written(&claim);
            table.finish(claim, Answer);
        }
    }
    let run_ns = started.elapsed().as_secs_f64() * 1e9 / rounds as f64;
    report.figure(
        "at_most_once.begin_to_finish",
        run_ns,
        "ns",
        Limit::AtMost(20_000.0),
    );
    let started = Instant::now();
    for key in &fresh {
        let _ = table.begin(key, fingerprint(), now);
    }
    let known_ns = started.elapsed().as_secs_f64() * 1e9 / rounds as f64;
    report.figure(
        "at_most_once.begin_known",
        known_ns,
        "ns",
        Limit::AtMost(20_000.0),
    );
}

/// Returns the resident set size (proc(5), `statm`).
fn resident_bytes() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|p| p.parse().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}
