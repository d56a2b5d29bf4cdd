//! Selects the instances that callers are directed to, by what each of them can carry.
//!
//! Callers pick among the named instances at random. Where the links of instances differ in
//! width, as many callers would use a narrow one as a wide one, and bulk responses on the narrow
//! link would delay all else that passes it, also the answers of coordinators. So look-ups name
//! the widest instances, as long as these answer and have capacity unused.

mod conditions;
mod selection;

pub use conditions::Conditions;
pub use selection::{
    Candidate,
    Selection,
    Selector, //
};
