//! Prints measured figures, one a line: `name value unit limit held`.
//!
//! `cargo run --release --example measure -- decisions` or `-- fleet`, with
//! the name of a single module after it to run just that one.

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

/// One group of figures.
type Measurement = (&'static str, fn(&mut Report));

/// What each instance decides, against simpler baselines.
const DECISIONS: &[Measurement] = &[
    ("at_most_once", at_most_once::run),
    ("blocks", blocks::run),
    ("organisations", organisations::run),
    ("choice", choice::run),
    ("steering", steering::run),
];

/// What a fleet of instances costs and how fast it agrees.
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
