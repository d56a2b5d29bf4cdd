//! The request path of foxtide: look-ups, requests, operators' pages.
//!
//! An instance has two listeners. Callers look up which instances to use and
//! send requests, which go to an upstream; operators read pages. What the
//! request path needs from the rest of the instance stands in [`Parts`]: one
//! type that holds a directory, what decides where a request goes, clocks, a
//! recorder and the operators' pages.
//!
//! ```no_run
//! # use foxtide_entry::{Entry, EntryOptions, Parts, Workers};
//! # use std::sync::Arc;
//! # async fn run<P: Parts>(parts: P) -> foxtide_entry::Result<()> {
//! let workers = Workers::start(2)?;
//! let options = EntryOptions {
//!     caller_address: ([127, 0, 0, 1], 8080).into(),
//!     ..EntryOptions::default()
//! };
//! let entry = Entry::start(options, Arc::new(parts), &workers.executor())?;
//! entry.drain().await;
//! # Ok(())
//! # }
//! ```

mod admin;
mod answer;
mod callers;
mod clock;
mod entry;
mod errors;
mod events;
mod http;
mod local_first;
mod lookup;
mod options;
mod outcome;
mod parts;
mod proxy;
mod request_id;
mod route;
mod serve;
mod time_limit;
mod upstream;
mod workers;

pub use clock::{Clock, SystemClock};
pub use entry::Entry;
pub use errors::{Error, Result, Step};
pub use events::RequestEvent;
pub use local_first::{LocalFirst, LocalTicket};
pub use options::{DrainOptions, EntryOptions, Limits, PoolOptions};
pub use outcome::Outcome;
pub use parts::{
    Admin, AdminPage, Admission, Completion, CompletionKind, Directory, Parts, Pick, Recorder,
    RequestFacts, ServingInstance, Steer,
};
pub use workers::Workers;
