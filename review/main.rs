//! Stand-ins for the platform's store, targets and clients, and the cases of the review that use
//! them. Std only: built by `review/build.sh` with rustc alone.

mod case_1;
mod case_2;
mod case_3;
mod clients;
mod fleet;
mod http;
mod json;
mod record;
mod store;
mod targets;

use std::path::PathBuf;
use std::process::exit;
use std::time::Duration;

/// The longest run; the processes are ended then, and the case counts as not run.
const RUN_MAX: Duration = Duration::from_secs(112);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, record_file] = arguments.as_slice() else {
        eprintln!("usage: standins CASE REPOSITORY RECORD_FILE");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let context = fleet::Context {
        root: PathBuf::from(root),
        trouble,
        record: record::Record::new(PathBuf::from(record_file)),
    };
    let watchdog = context.record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(RUN_MAX);
        watchdog.line("driver: the run takes too long; it is ended");
        watchdog.write();
        fleet::kill_all();
        exit(2);
    });
    context
        .record
        .line(&format!("driver: case {case}, trouble {trouble}"));
    let result = match case.as_str() {
        "1" => case_1::run(&context),
        "2" => case_2::run(&context),
        "3" => case_3::run(&context),
        _ => Err(format!("no case {case}")),
    };
    fleet::kill_all();
    let code = match &result {
        Ok(verdict) if verdict.is_empty() => {
            context.record.line("verdict: the rule held");
            0
        }
        Ok(verdict) => {
            for line in verdict {
                context.record.line(&format!("verdict: BROKEN {line}"));
                println!("BROKEN {line}");
            }
            1
        }
        Err(cause) => {
            context.record.line(&format!("verdict: could not run: {cause}"));
            println!("could not run: {cause}");
            2
        }
    };
    context.record.write();
    println!("case {case}, trouble {trouble}: exit {code}");
    exit(code);
}
