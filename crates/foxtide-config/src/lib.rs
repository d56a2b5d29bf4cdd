//! Settings, templates, validation, client of the store and changes of configuration.
//!
//! - [`blocks`]: reads and writes client blocks in the store.
//! - [`settings`]: the settings file of an instance.
//! - [`document`]: strict parser of JSON with comments.
//! - [`store`]: client of the store.
//! - [`template`]: templates and their parameters.
//! - [`watch`]: watches the store for accepted changes.
//! - [`change`]: validates changes and writes them to the store.

mod backoff;
pub mod blocks;
pub mod change;
pub mod document;
mod errors;
mod instance_list;
pub mod settings;
pub mod store;
pub mod template;
mod validate;
pub mod watch;

pub use backoff::{
    Backoff,
    BackoffOptions, //
};
pub use errors::{
    Error,
    Result, //
};
pub use instance_list::{
    InstanceListError,
    read_instance_list, //
};
pub use settings::Settings;
pub use store::{
    BudgetOptions,
    BudgetedStore,
    Fleet,
    HttpStore,
    HttpStoreOptions,
    StoreBudget, //
};
pub use template::Template;
pub use watch::{
    ConfigurationWatch,
    WatchOptions,
    WatchReport, //
};
