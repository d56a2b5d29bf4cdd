//! Accepts connections, stops and resumes listening, and tracks open connections.
//!
//! Lock order: `connections` is the only lock here and is never held across
//! an await.

use super::connection::{
    Endpoint,
    serve, //
};
use super::shared::Shared;
use super::{
    Availability,
    Call, //
};
use smol::channel::{
    Receiver,
    Sender,
    bounded,
    unbounded, //
};
use smol::future::FutureExt;
use smol::net::{
    TcpListener,
    TcpStream, //
};
use smol::{
    Task,
    Timer, //
};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{
    Ordering, //
};
use std::time::Duration;

/// The delay before binding, accepting or peeking is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// A running server; dropping it closes its connections.
pub(crate) struct Server<E> {
    address: SocketAddr,
    shared: Arc<Shared<E>>,
    listen_changes: Sender<ListenChange>,
    _accepting: Task<()>,
}

/// Asks the accept task to start or stop listening and to confirm on `done`.
struct ListenChange {
    listen: bool,
    done: Sender<()>,
}

/// An event that wakes the accept task.
enum Wake {
    Connection(TcpStream, SocketAddr),
    ListenChange(ListenChange),
    AcceptFailed,
    HandleDropped,
}

impl<E: Endpoint> Server<E> {
    /// Binds the address and starts to accept connections.
    pub(crate) async fn start(address: SocketAddr, endpoint: Arc<E>) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::new(endpoint));
        let (listen_changes, changes) = unbounded();
        let accepting = smol::spawn(run(listener, address, shared.clone(), changes));
        Ok(Self {
            address,
            shared,
            listen_changes,
            _accepting: accepting,
        })
    }

    /// Returns the listening address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    pub(crate) fn open_connections(&self) -> usize {
        self.shared.open_connections.load(Ordering::SeqCst)
    }

    /// Closes all open connections, including those with a request in progress.
    pub(crate) fn close_connections(&self) {
        self.shared.connections.lock().tasks.clear();
    }

    /// Sets the availability; the change is in effect when the call returns.
    pub(crate) async fn set_availability(&self, availability: Availability) {
        *self.shared.availability.lock() = availability;
        let (done, finished) = bounded(1);
        let listen = availability != Availability::Refusing;
        let change = ListenChange { listen, done };
        if self.listen_changes.send(change).await.is_ok() {
            finished.recv().await.ok();
        }
    }
}

impl<E> Drop for Server<E> {
    fn drop(&mut self) {
        let mut connections = self.shared.connections.lock();
        connections.closed = true;
        connections.tasks.clear();
    }
}

impl<E: Endpoint> Shared<E> {
    fn open(self: &Arc<Self>, stream: TcpStream, peer: SocketAddr) {
        let open_connections = self.open_connections.fetch_add(1, Ordering::SeqCst);
        let guard = OpenConnection(self.clone());
        if !self.endpoint.accepts(peer.ip(), open_connections) {
            return;
        }
        stream.set_nodelay(true).ok();
        let task = smol::spawn(async move {
            serve(&guard.0, stream, peer).await;
        });
        let mut connections = self.connections.lock();
        connections.tasks.retain(|task| !task.is_finished());
        if !connections.closed {
            connections.tasks.push(task);
        }
    }
}

/// Decrements the count of open connections on drop.
struct OpenConnection<E>(Arc<Shared<E>>);

impl<E> Drop for OpenConnection<E> {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn run<E: Endpoint>(
    mut listener: TcpListener,
    address: SocketAddr,
    shared: Arc<Shared<E>>,
    changes: Receiver<ListenChange>,
) {
    while let Some(closed) = accept_until_closed(&listener, &shared, &changes).await {
        drop(listener);
        closed.send(()).await.ok();
        let Some(opened) = wait_until_opened(&changes).await else {
            return;
        };
        listener = rebind(address).await;
        opened.send(()).await.ok();
    }
}

async fn accept_until_closed<E: Endpoint>(
    listener: &TcpListener,
    shared: &Arc<Shared<E>>,
    changes: &Receiver<ListenChange>,
) -> Option<Sender<()>> {
    loop {
        match next_wake(listener, changes).await {
            Wake::Connection(stream, peer) => shared.open(stream, peer),
            Wake::AcceptFailed => drop(Timer::after(RETRY_INTERVAL).await),
            Wake::ListenChange(change) if change.listen => {
                change.done.send(()).await.ok();
            }
            Wake::ListenChange(change) => return Some(change.done),
            Wake::HandleDropped => return None,
        }
    }
}

async fn next_wake(listener: &TcpListener, changes: &Receiver<ListenChange>) -> Wake {
    let connection = async {
        match listener.accept().await {
            Ok((stream, peer)) => Wake::Connection(stream, peer),
            Err(_) => Wake::AcceptFailed,
        }
    };
    let change = async {
        match changes.recv().await {
            Ok(change) => Wake::ListenChange(change),
            Err(_) => Wake::HandleDropped,
        }
    };
    change.or(connection).await
}

async fn wait_until_opened(changes: &Receiver<ListenChange>) -> Option<Sender<()>> {
    loop {
        let change = changes.recv().await.ok()?;
        if change.listen {
            return Some(change.done);
        }
        change.done.send(()).await.ok();
    }
}

async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(error) => log::warn!("test server failed to listen on {address} again: {error}"),
        }
        Timer::after(RETRY_INTERVAL).await;
    }
}

impl Call {
    /// Waits until the caller has closed its connection.
    pub(crate) async fn disconnected(&self) {
        let mut byte = [0];
        while let Ok(1) = self.stream.peek(&mut byte).await {
            Timer::after(RETRY_INTERVAL).await;
        }
    }
}
