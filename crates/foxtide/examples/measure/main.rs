//! Measures the components of foxtide and prints one figure per line:
//! `name value unit limit held`.
//!
//! Run with `cargo run --release --example measure -- decisions` or `-- fleet`.
//! The name of a module as second argument restricts the run to that module.

mod at_most_once;
mod blocks;
mod choice;
mod document;
mod events;
mod explain;
mod linear_fit;
mod membership;
mod membership_virtual;
mod mesh_fleet;
mod organisations;
mod proxy;
mod report;
mod resource_usage;
mod spread;
mod steering;
mod store;

use report::Report;
use std::process::ExitCode;

/// A module's name on the command line and its entry point.
type Measurement = (&'static str, fn(&mut Report));

/// Quality and cost of an instance's decisions, compared with simpler baselines.
const DECISIONS: &[Measurement] = &[
    ("at_most_once", at_most_once::run),
    ("blocks", blocks::run),
    ("organisations", organisations::run),
    ("choice", choice::run),
    ("steering", steering::run),
];

/// Resource usage and convergence time of a fleet.
const FLEET: &[Measurement] = &[
    ("document", document::run),
    ("events", events::run),
    ("explain", explain::run),
    ("store", store::run),
    ("proxy", proxy::run),
    ("membership", membership::run),
    ("membership_virtual", membership_virtual::run),
    ("spread", spread::run),
];

const USAGE: &str = "usage: measure decisions|fleet [MODULE]";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let measurements = match arguments.first().map(String::as_str) {
        Some("decisions") => DECISIONS,
        Some("fleet") => FLEET,
        _ => {
            eprintln!("{USAGE}");
            return ExitCode::from(2);
        }
    };
    let mut report = Report::default();
    for (name, run) in measurements {
        if arguments.get(1).is_none_or(|wanted| wanted == name) {
            run(&mut report);
        }
    }
    report.exit_code()
}
