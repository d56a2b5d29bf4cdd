//! The request path of foxtide: look-ups, requests, operators' pages.
//!
//! An instance has two listeners. Callers look up which instances to use and
//! send requests, which go to an upstream; operators read pages. What the
//! request path needs from the rest of the instance stands in [`Dependencies`]: one
//! type that holds the tables of all organisations ([`TrafficTables`]), the
//! directory of instances, clocks, the recorder of events and the operators'
//! pages.
//!
//! The rest of the instance calls [`TrafficTables::configure`] for each
//! configuration that comes into force, [`TrafficTables::observe`] and
//! [`TrafficTables::set_sharing`] for what the mesh knows, and sends
//! [`TrafficTables::report`] to peers. The entry itself moves decisions on in
//! time, polls upstreams and closes idle connections.
//!
//! ```no_run
//! # use foxtide_entry::{Entry, EntryOptions, Dependencies, Workers};
//! # use std::sync::Arc;
//! # async fn run<P: Dependencies>(dependencies: P) -> foxtide_entry::Result<()> {
//! let workers = Workers::start(2)?;
//! let options = EntryOptions {
//!     caller_address: ([127, 0, 0, 1], 8080).into(),
//!     ..EntryOptions::default()
//! };
//! let entry = Entry::start(options, Arc::new(dependencies), &workers.executor())?;
//! entry.drain().await;
//! # Ok(())
//! # }
//! ```

mod admin;
mod answer;
mod callers;
mod clock;
mod dependencies;
mod entry;
mod errors;
mod housekeeping;
mod limiter;
mod lookup;
mod options;
mod proxy;
mod request_context;
mod request_id;
mod route;
mod serve;
mod timeout;
mod traffic;
mod upstream;
mod workers;

pub use clock::{
    Clock,
    SystemClock, //
};
pub use dependencies::{
    Admin,
    AdminPage,
    Dependencies,
    Directory,
    ServingInstance, //
};
pub use entry::{
    Entry,
    Listeners, //
};
pub use errors::{
    Error,
    Result,
    Step, //
};
pub use options::{
    DrainOptions,
    EntryOptions,
    Limits,
    PollOptions,
    PoolOptions, //
};
pub use traffic::{
    SentCount,
    TrafficOptions,
    TrafficTables,
    UpstreamState, //
};
pub use workers::Workers;
