//! The client of the platform's store, and the budget of its calls.

mod exchange;
mod http;
mod wire;

pub use http::{HttpStore, HttpStoreOptions};
