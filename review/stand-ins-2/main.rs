//! Stand-ins and checks of the cases of the second review. Uses the standard library alone.
//!
//!     stand-ins-2 CASE ROOT RECORD
//!
//! Exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case could not run.
//! With TROUBLE=0 in the environment the case runs without its disruption.

mod clients;
mod fleet;
mod http;
mod json;
mod memory;
mod proxy;
mod record;
mod recover;
mod smuggle;
mod store;
mod storm;
mod targets;

use record::Record;
use std::path::PathBuf;
use std::process::ExitCode;

/// The descriptors of this process: those of some thousand clients and as many targets' connections.
const DESCRIPTORS: u64 = 16_384;

/// What a case is run with.
pub struct Setting {
    /// The root of the repository.
    pub root: PathBuf,
    /// A folder for settings and logs, removed at the end.
    pub folder: PathBuf,
    pub record: Record,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

/// Whether the rule held; an error if the case could not run.
pub type Verdict = Result<bool, String>;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, root, record_path] = words.as_slice() else {
        eprintln!("usage: stand-ins-2 CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    fleet::limit_descriptors(DESCRIPTORS);
    let folder = std::env::temp_dir().join(format!("foxtide-review-2-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&folder) {
        eprintln!("cannot create a folder: {error}");
        return ExitCode::from(2);
    }
    let setting = Setting {
        root: PathBuf::from(root),
        folder: folder.clone(),
        record: Record::new(),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let verdict = match case.as_str() {
        "memory" => memory::run(&setting),
        "smuggle" => smuggle::run(&setting),
        "recover" => recover::run(&setting),
        "storm" => storm::run(&setting),
        other => Err(format!("no case {other}")),
    };
    let code = match &verdict {
        Ok(true) => {
            setting.record.say("the rule held");
            0
        }
        Ok(false) => {
            setting.record.say("the rule was BROKEN");
            1
        }
        Err(error) => {
            setting.record.say(format!("the case could not run: {error}"));
            2
        }
    };
    if let Err(error) = setting.record.write(&PathBuf::from(record_path)) {
        eprintln!("cannot write the record: {error}");
    }
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        println!("kept {}", folder.display());
    }
    ExitCode::from(code)
}
