//! Client of the store, and the budget of its calls.

mod bucket;
mod budget;
mod budgeted;
mod exchange;
mod http;
mod wire;

pub(crate) use exchange::{
    Call,
    run as exchange, //
};

pub use budget::{
    BudgetOptions,
    CallClass,
    Fleet,
    StoreBudget, //
};
pub use budgeted::BudgetedStore;
pub use http::{
    HttpStore,
    HttpStoreOptions, //
};
