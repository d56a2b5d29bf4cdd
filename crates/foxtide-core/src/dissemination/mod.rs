//! Dissemination of configuration documents and load figures to all instances.

mod configuration;
mod fetch;
mod load;

pub use configuration::{
    ConfigurationTable,
    Document, //
};
pub use fetch::{
    Fetch,
    FetchOptions,
    FetchQueue, //
};
pub use load::{
    ClockReading,
    LoadAggregator,
    LoadEnvelope,
    LoadMessage,
    LoadOptions,
    LoadRecord, //
};
