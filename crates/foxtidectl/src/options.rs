//! Global options, shared by all commands.

use foxtide_core::units::Revision;
use std::net::SocketAddr;

/// The options that precede the command.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    pub(crate) store: SocketAddr,
    /// The admin addresses of instances to query.
    pub(crate) admin: Vec<SocketAddr>,
    /// Whether results are printed as JSON.
    pub(crate) json: bool,
    /// Whether a change is written instead of only previewed.
    pub(crate) yes: bool,
    /// Whether a change may be rebased onto a concurrent one.
    pub(crate) rebase: bool,
    /// The revision that the change is expected to be based on.
    pub(crate) revision: Option<Revision>,
    /// The author recorded with a change.
    pub(crate) author: String,
}
