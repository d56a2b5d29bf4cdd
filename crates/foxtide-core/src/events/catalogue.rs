//! The page of the catalogue, written from the code.

use super::EventCode;
use std::fmt::Write;

const HEAD: &str = "# Events

Every log line and every entry of the time line is one of these numbered
events. The page is written by
`cargo run -p foxtide-core --example events_page > docs/EVENTS.md`; a test
compares it with the code.

A log line reads `F5003 upstream-ejected organisation=… service=… upstream=…`
and then the detail. The level is the log level; events above `debug` are kept
apart from the others, so that requests cannot push them out, and are copied
to peers.
";

/// The ranges of numbers, by their first digit.
const RANGES: &[(u16, &str)] = &[
    (1, "The process"),
    (2, "Configuration"),
    (3, "Membership"),
    (4, "Steering and limits"),
    (5, "Requests and upstreams"),
    (6, "Idempotency keys"),
    (7, "The store"),
    (8, "Operators and promises"),
];

/// Returns the text of docs/EVENTS.md.
pub fn catalogue_page() -> String {
    let mut page = HEAD.to_owned();
    for (range, title) in RANGES {
        page += &format!("\n## F{range}xxx: {title}\n\n| number | name | level | meaning |\n");
        page += "|---|---|---|---|\n";
        let codes = EventCode::ALL.iter();
        for code in codes.filter(|code| code.number() / 1_000 == *range) {
            page += &row(*code);
        }
    }
    page
}

fn row(code: EventCode) -> String {
    let mut row = String::new();
    let (name, level, meaning) = (code.name(), code.level(), code.description());
    // Writing to a string cannot fail.
    let _ = writeln!(
        row,
        "| F{:04} | {name} | {level} | {meaning} |",
        code.number()
    );
    row
}
