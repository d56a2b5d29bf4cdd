//! The subcommands, one module each.

pub(crate) mod blocks;
pub(crate) mod check;
pub(crate) mod drain;
pub(crate) mod explain;
pub(crate) mod instances;
pub(crate) mod log_lines;
pub(crate) mod losses;
pub(crate) mod movement;
pub(crate) mod organisation;
pub(crate) mod promises;
pub(crate) mod template;
pub(crate) mod timeline;
