//! `foxtidectl explain request`: explains how one request was handled.

mod cause;
mod report;
mod trace;

use super::decisions;
use crate::commands::log_lines;
use crate::failure::Failure;
use crate::report::Report;
use crate::session::Session;
use argh::FromArgs;
use foxtide_core::events::RequestId;
use trace::RequestTrace;

/// Explain how a request was routed
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "request")]
pub(super) struct Request {
    /// the request id from the response header `foxtide-request-id`; with --lines,
    /// the id that the caller sent
    #[argh(positional)]
    id: String,
    /// a file with structured log lines of instances, `-` for standard input; can
    /// be given several times; no instance is queried then
    #[argh(option)]
    lines: Vec<String>,
}

impl Request {
    /// Explains the request from the given log lines or, without any, from the instances.
    pub(super) async fn run(self, session: &Session) -> Result<Report, Failure> {
        if self.lines.is_empty() {
            let id: RequestId = self.id.parse()?;
            return decisions::explain(session, &format!("request={id}"), "this request").await;
        }
        let lines = log_lines::read(&self.lines)?.events;
        match RequestTrace::collect(&self.id, &lines) {
            Some(trace) => Ok(report::report(&trace)),
            None => Err(Failure::refused(
                format!(
                    "none of the {} events mentions request {}",
                    lines.len(),
                    self.id
                ),
                "give the log lines of all instances; look for lines-left-out (F1011) and \
                 lines-dropped (F1012) at the time of the request",
            )),
        }
    }
}
