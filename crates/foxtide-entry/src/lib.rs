//! HTTP entry of a foxtide instance: look-ups, proxied requests and admin pages.
//!
//! An instance has two listeners. On the caller listener, callers look up which
//! instances to use and send requests, which are forwarded to upstreams. On the
//! admin listener, operators read pages. The entry uses the rest of the
//! instance through [`Dependencies`].
//!
//! The instance calls [`TrafficTables::configure`] for each new configuration
//! and [`TrafficTables::observe`] and [`TrafficTables::set_sharing`] for
//! updates from the mesh, and sends [`TrafficTables::report`] to its peers. The
//! entry itself advances the traffic state, polls upstreams and closes idle
//! connections.
//!
//! ```no_run
//! # use foxtide_entry::{Entry, EntryOptions, Dependencies, Workers};
//! # use std::sync::Arc;
//! # async fn run<P: Dependencies>(deps: P) -> foxtide_entry::Result<()> {
//! let workers = Workers::start(2)?;
//! let options = EntryOptions {
//!     caller_address: ([127, 0, 0, 1], 8080).into(),
//!     ..EntryOptions::default()
//! };
//! let entry = Entry::start(options, Arc::new(deps), &workers.executor())?;
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
