//! Settings, templates, validation, the store's client and the change flow.
//!
//! - [`blocks`]: client blocks in the store.
//! - [`settings`]: the settings file of an instance.
//! - [`document`]: JSON with comments, read strictly.
//! - [`store`]: the store's client.
//! - [`template`]: templates and their parameters.
//! - [`watch`]: how an instance learns of accepted changes from the store.
//! - [`change`]: how a change is checked and accepted.

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
