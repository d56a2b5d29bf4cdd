//! Runs a script and prints its output, or replays a trace and prints the verdicts.
//!
//! `cargo run -p foxtide-testing --example scenario -- FILE [--seed N] [--trace]`: a file
//! whose name ends in `.jsonl` is a trace. `--trace` prints the run of a script as a trace.

use anyhow::Context as _;
use argh::FromArgs;
use foxtide_testing::scenario::{
    ScenarioOptions,
    ScenarioRunner, //
};
use std::path::{
    Path,
    PathBuf, //
};

/// Runs a scenario or replays a trace.
#[derive(FromArgs)]
struct Arguments {
    /// the script or the trace
    #[argh(positional)]
    file: PathBuf,
    /// seed of the random number generators; 1 by default
    #[argh(option, default = "1")]
    seed: u64,
    /// print the run of the script as a trace
    #[argh(switch)]
    trace: bool,
}

fn is_trace(file: &Path) -> bool {
    file.extension()
        .is_some_and(|extension| extension == "jsonl")
}

fn replay(text: &str, options: ScenarioOptions) -> anyhow::Result<()> {
    let runner = ScenarioRunner::replay(text, options)?;
    for (promise, verdict) in runner.verdicts() {
        println!("{promise}: {verdict}");
    }
    Ok(())
}

fn main() -> anyhow::Result<()> {
    let arguments: Arguments = argh::from_env();
    let options = ScenarioOptions {
        seed: arguments.seed,
        ..Default::default()
    };
    let path = arguments.file.display().to_string();
    let text = std::fs::read_to_string(&arguments.file).with_context(|| path.clone())?;
    if is_trace(&arguments.file) {
        return replay(&text, options).with_context(|| path);
    }
    let mut runner = ScenarioRunner::new(options);
    let output = goldenscript::generate(&mut runner, &text).with_context(|| path)?;
    if arguments.trace {
        let trace = runner.trace().map_err(|error| anyhow::anyhow!("{error}"))?;
        print!("{trace}");
    } else {
        print!("{output}");
    }
    Ok(())
}
