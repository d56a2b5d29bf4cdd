//! Simulates loads from files with and without slot coordination, prints the outcomes and
//! optionally plots worth and load over time.
//!
//!     cargo run -p foxtide-testing --example load_model -- crates/foxtide-testing/loads/high.jsonc

use anyhow::Result;
use argh::FromArgs;
use foxtide_testing::load_model::{
    LoadSettings,
    plot,     //
    simulate, //
};
use std::path::PathBuf;

/// Simulates loads on a service with and without slot coordination.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// load files
    #[argh(positional)]
    loads: Vec<PathBuf>,
    /// first seed, default 1
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds to run, default 3
    #[argh(option, default = "3")]
    seeds: u64,
    /// SVG file for a plot of the first load and seed
    #[argh(option)]
    plot: Option<PathBuf>,
}

fn main() -> Result<()> {
    let arguments: Arguments = argh::from_env();
    for load in &arguments.loads {
        let coordinated = LoadSettings::load(load)?;
        let uncoordinated = LoadSettings {
            is_coordinated: false,
            ..coordinated.clone()
        };
        for seed in arguments.seed..arguments.seed + arguments.seeds {
            println!("{} seed {seed}, each instance alone:", load.display());
            println!("{}\n", simulate(&uncoordinated, seed));
            println!("{} seed {seed}, coordinated slots:", load.display());
            println!("{}\n", simulate(&coordinated, seed));
        }
    }
    let (Some(path), Some(load)) = (&arguments.plot, arguments.loads.first()) else {
        return Ok(());
    };
    let coordinated = LoadSettings::load(load)?;
    let uncoordinated = LoadSettings {
        is_coordinated: false,
        ..coordinated.clone()
    };
    let (uncoordinated_run, coordinated_run) = (
        simulate(&uncoordinated, arguments.seed),
        simulate(&coordinated, arguments.seed),
    );
    let runs = [
        ("each instance alone", &uncoordinated_run),
        ("coordinated slots", &coordinated_run),
    ];
    plot(path, &runs).map_err(|error| anyhow::anyhow!("{}: {error}", path.display()))
}
