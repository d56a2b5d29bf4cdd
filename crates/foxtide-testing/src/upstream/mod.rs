//! A stand-in for one target of a service.
//!
//! It runs requests on a limited number of slots, reports its load, sheds,
//! drains, starts cold, and shows the faults that its handle sets. It records
//! every request that it ran, so that a test can count doubled runs.

mod answer;
mod endpoint;
mod faults;
mod load;
mod options;
mod records;
mod server;

pub use faults::{
    AnswerFault,
    FaultSpan, //
};
pub use load::{
    HealthReport,
    LoadFormat,
    LoadReport, //
};
pub use options::{
    ColdStart,
    ServiceTime,
    UpstreamOptions, //
};
pub use records::{
    RunRecord,
    UpstreamStats, //
};
pub use server::UpstreamServer;
