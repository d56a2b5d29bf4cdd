//! The options that all commands share.

use foxtide_core::units::Revision;
use std::net::SocketAddr;

/// The options that stand before the command.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// The store's address.
    pub(crate) store: SocketAddr,
    /// The admin addresses of instances to ask.
    pub(crate) admin: Vec<SocketAddr>,
    /// Whether results are printed as JSON.
    pub(crate) json: bool,
    /// Whether a change is written, not only shown.
    pub(crate) yes: bool,
    /// Whether a change may be applied on top of one that came first.
    pub(crate) rebase: bool,
    /// The revision that the operator has seen.
    pub(crate) revision: Option<Revision>,
    /// Who makes the change.
    pub(crate) author: String,
}
