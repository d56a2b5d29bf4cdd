//! `foxtidectl losses`: summarises late, refused and failed requests from log lines.

mod groups;
mod object_history;
mod organisations;
mod plot;
mod report;
mod slot_causes;
mod store_calls;
mod tally;

use super::log_lines;
use crate::failure::Failure;
use crate::report::Report;
use argh::FromArgs;
use std::path::PathBuf;
use tally::Tally;

/// Summarise the outcomes of requests from structured log lines of instances
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "losses")]
pub(crate) struct Losses {
    /// a file with structured log lines of instances, `-` for standard input; can
    /// be given several times
    #[argh(option)]
    lines: Vec<String>,
    /// the length of a time window in seconds, default 2
    #[argh(option, default = "2.0")]
    window_s: f64,
    /// the SVG file to write, with charts of request outcomes, slot waits and requests
    /// by region over time
    #[argh(option)]
    svg: Option<PathBuf>,
}

impl Losses {
    /// Reads the log lines and reports their summary.
    pub(crate) fn run(self) -> Result<Report, Failure> {
        if self.lines.is_empty() {
            return Err(Failure::refused(
                "no log lines were given",
                "give the log lines of all instances with --lines FILE, `-` for standard input",
            ));
        }
        if !(self.window_s.is_finite() && self.window_s > 0.0) {
            return Err(Failure::refused(
                format!("--window-s {}: not a valid window length", self.window_s),
                "valid: a number of seconds above 0",
            ));
        }
        let lines = log_lines::read(&self.lines)?;
        let tally = Tally::from_events(&lines.events, self.window_s);
        if let Some(svg) = &self.svg {
            plot::plot(svg, &tally).map_err(|error| {
                Failure::refused(
                    format!("--svg {}: {error}", svg.display()),
                    "give a file that can be written",
                )
            })?;
        }
        Ok(report::report(&tally, &lines.unreadable))
    }
}
