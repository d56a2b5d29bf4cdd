//! Test server for one upstream of a service.
//!
//! Runs requests on a limited number of slots, reports load, sheds, drains,
//! starts cold and injects faults. It records every request that it ran, so
//! that a test can detect duplicate runs.

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
