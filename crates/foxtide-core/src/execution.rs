//! What is known about the execution of a request over all its sends.

use crate::outcome::Outcome;
use std::fmt;

/// How a send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendEnd {
    /// No byte of the request was sent.
    NotSent,
    /// The receiver stated that it has not run the request and will not run it.
    Rejected,
    /// A whole response arrived that does not state this.
    Responded {
        /// The status of the response.
        status: u16,
    },
    /// No usable response arrived: the request may have run or may still run.
    Lost,
}

impl SendEnd {
    /// Returns whether the request has not run in this send and will not run.
    pub const fn is_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::Rejected)
    }
}

impl fmt::Display for SendEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent => f.write_str("not_sent"),
            Self::Rejected => f.write_str("rejected"),
            Self::Responded { status } => write!(f, "responded_{status}"),
            Self::Lost => f.write_str("lost"),
        }
    }
}

/// Identifies a send of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendId(usize);

#[derive(Clone, Debug)]
struct Send {
    to: String,
    /// `None` while it is in progress, and after it was cancelled.
    end: Option<SendEnd>,
}

/// The sends of one request.
///
/// Whether a reply may state that the request has not run is decided from this alone. Displays as
/// `RECEIVER=END` for each send, in their order, separated by spaces; the end of one that is in
/// progress or was cancelled is `open`.
#[derive(Clone, Debug, Default)]
pub struct SendLog {
    sends: Vec<Send>,
}

impl SendLog {
    /// Records the begin of a send; from now on the request may run.
    pub fn begin(&mut self, to: &str) -> SendId {
        let to = to.to_owned();
        self.sends.push(Send { to, end: None });
        SendId(self.sends.len() - 1)
    }

    /// Records how a send ended. Its first end counts.
    pub fn end(&mut self, id: SendId, end: SendEnd) {
        if let Some(send) = self.sends.get_mut(id.0) {
            send.end.get_or_insert(end);
        }
    }

    /// Returns what is known about the execution of the request.
    pub fn outcome(&self) -> Outcome {
        let is_not_run = |send: &Send| send.end.is_some_and(SendEnd::is_not_run);
        if self.sends.iter().all(is_not_run) {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        }
    }
}

impl fmt::Display for SendLog {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, Send { to, end }) in self.sends.iter().enumerate() {
            let separator = if index == 0 { "" } else { " " };
            write!(f, "{separator}{to}=")?;
            match end {
                Some(end) => end.fmt(f)?,
                None => f.write_str("open")?,
            }
        }
        Ok(())
    }
}
