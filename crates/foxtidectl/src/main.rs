//! Entry point of the `foxtidectl` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::init();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let mut output = std::io::stdout();
    let mut errors = std::io::stderr();
    foxtidectl::run(&arguments, &mut output, &mut errors).into()
}
