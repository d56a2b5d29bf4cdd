//! How documents and load figures reach every instance.

mod configuration;
mod fetch;

pub use configuration::{ConfigurationTable, Document};
pub use fetch::{Fetch, FetchOptions, FetchQueue};
