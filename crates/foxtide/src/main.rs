//! The foxtide entry instance.

use foxtide::command::Command;
use std::process::ExitCode;

fn main() -> ExitCode {
    let command: Command = argh::from_env();
    match foxtide::command::run(&command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("foxtide: {error:#}");
            ExitCode::FAILURE
        }
    }
}
