//! Holds the state shared by the parts of a running server.

use super::Availability;
use parking_lot::Mutex;
use smol::Task;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;

/// The state shared by the accept task, the connections and the handle.
pub(crate) struct Shared<E> {
    pub(super) endpoint: Arc<E>,
    pub(super) availability: Mutex<Availability>,
    pub(super) connections: Mutex<Connections>,
    pub(super) open_connections: AtomicUsize,
}

/// The tasks that serve the open connections.
#[derive(Default)]
pub(super) struct Connections {
    pub(super) tasks: Vec<Task<()>>,
    /// Set when the handle is dropped; new tasks are cancelled from then on.
    pub(super) closed: bool,
}

impl<E> Shared<E> {
    pub(super) fn new(endpoint: Arc<E>) -> Self {
        Self {
            endpoint,
            availability: Mutex::default(),
            connections: Mutex::default(),
            open_connections: AtomicUsize::new(0),
        }
    }

    pub(super) fn availability(&self) -> Availability {
        *self.availability.lock()
    }
}
