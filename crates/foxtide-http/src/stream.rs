//! Buffered TCP connection.

use rustix::event::epoll::{
    self,
    CreateFlags,
    EventData,
    EventFlags, //
};
use smol::Async;
use socket2::{
    Domain,
    SockRef,
    Socket,
    Type, //
};
use std::future::pending;
use std::io::{
    self,
    Read,
    Write, //
};
use std::net::{
    IpAddr,
    Shutdown,
    SocketAddr,
    TcpStream, //
};
use std::sync::OnceLock;
use std::time::Duration;

/// Size of a read; the buffer is zeroed each time.
const READ_CHUNK_BYTES: usize = 4 * 1_024;

/// Size of a read from a long body.
const READ_BULK_BYTES: usize = 64 * 1_024;

/// State of a socket, determined without consuming input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleState {
    /// The connection is open and nothing is unread.
    Idle,
    /// Bytes are unread, or the peer has closed or reset the connection.
    Readable,
}

/// TCP connection that buffers input and counts sent bytes.
///
/// It holds no read buffer while it waits, so that idle connections are cheap.
#[derive(Debug)]
pub struct BufferedStream {
    socket: Async<TcpStream>,
    buffer: Vec<u8>,
    sent_bytes: u64,
    /// First error of the socket. The system reports it to a single operation, be it a write or a
    /// peek, and later reads would find an orderly end of the stream.
    failure: OnceLock<io::ErrorKind>,
}

impl BufferedStream {
    /// Wraps a connected socket.
    pub fn new(socket: Async<TcpStream>) -> Self {
        // Messages are written whole; delaying packets has no benefit.
        let _ = socket.get_ref().set_nodelay(true);
        Self {
            socket,
            buffer: Vec::new(),
            sent_bytes: 0,
            failure: OnceLock::new(),
        }
    }

    /// Connects to `address`, from the local address `source` if given.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn connect(address: SocketAddr, source: Option<IpAddr>) -> io::Result<Self> {
        let socket = match source {
            Some(source) => connect_from(source, address).await?,
            None => Async::<TcpStream>::connect(address).await?,
        };
        Ok(Self::new(socket))
    }

    /// Makes the connection fail if sent data stays unacknowledged for `limit`
    /// (`TCP_USER_TIMEOUT`).
    ///
    /// # Errors
    ///
    /// Returns an error if the system does not support the option.
    pub fn set_user_timeout(&self, limit: Duration) -> io::Result<()> {
        SockRef::from(self.socket.get_ref()).set_tcp_user_timeout(Some(limit))
    }

    /// Returns the address of the peer.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection has ended.
    pub fn peer_address(&self) -> io::Result<SocketAddr> {
        self.socket.get_ref().peer_addr()
    }

    /// Returns the bytes that were read but not consumed.
    pub fn buffered(&self) -> &[u8] {
        &self.buffer
    }

    /// Removes and returns the first `size_bytes` buffered bytes.
    pub fn consume(&mut self, size_bytes: usize) -> Vec<u8> {
        let rest = self.buffer.split_off(size_bytes);
        std::mem::replace(&mut self.buffer, rest)
    }

    /// Returns the number of bytes passed to the system so far.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes
    }

    /// Reads more and returns the number of bytes, 0 at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket fails, or if the stream ends after the socket has failed in
    /// another operation.
    pub async fn fill(&mut self) -> io::Result<usize> {
        let buffer = &mut self.buffer;
        let read = |mut socket: &TcpStream| {
            let mut chunk = [0; READ_CHUNK_BYTES];
            let size_bytes = socket.read(&mut chunk)?;
            buffer.extend_from_slice(&chunk[..size_bytes]);
            Ok(size_bytes)
        };
        // `Async` takes `FnMut(&T)`, and `&TcpStream` implements `Read`.
        let read = self.socket.read_with(read).await;
        self.check_end(read)
    }

    /// Reads more of a body of which `left_bytes` are missing and returns the
    /// number of bytes, 0 at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Self::fill`].
    pub async fn fill_body(&mut self, left_bytes: u64) -> io::Result<usize> {
        if left_bytes <= READ_CHUNK_BYTES as u64 {
            return self.fill().await;
        }
        // Allocates only once the socket is readable.
        self.socket.readable().await?;
        let buffer = &mut self.buffer;
        let read = |mut socket: &TcpStream| {
            let start = buffer.len();
            buffer.resize(start + READ_BULK_BYTES, 0);
            let read = socket.read(&mut buffer[start..]);
            buffer.truncate(start + *read.as_ref().unwrap_or(&0));
            read
        };
        let read = self.socket.read_with(read).await;
        self.check_end(read)
    }

    /// Returns the earlier failure of the socket in place of the end of the stream.
    fn check_end(&self, read: io::Result<usize>) -> io::Result<usize> {
        match (self.record_failure(read)?, self.failure.get()) {
            (0, Some(&failure)) => Err(failure.into()),
            (size_bytes, _) => Ok(size_bytes),
        }
    }

    /// Keeps the first error of the socket.
    fn record_failure<T>(&self, result: io::Result<T>) -> io::Result<T> {
        if let Err(error) = &result {
            self.failure.get_or_init(|| error.kind());
        }
        result
    }

    /// Writes all of `bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket fails; [`Self::sent_bytes`] then tells
    /// how much was written.
    pub async fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut rest = bytes;
        while !rest.is_empty() {
            let write = |mut socket: &TcpStream| socket.write(rest);
            let written = self.socket.write_with(write).await;
            let written = self.record_failure(written)?;
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            self.sent_bytes += written as u64;
            rest = &rest[written..];
        }
        Ok(())
    }

    /// Checks for unread bytes and for a closed connection.
    pub fn idle_state(&self) -> IdleState {
        if !self.buffer.is_empty() {
            return IdleState::Readable;
        }
        match self.socket.get_ref().peek(&mut [0]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => IdleState::Idle,
            peeked => {
                // An error is found again by the next read.
                let _ = self.record_failure(peeked);
                IdleState::Readable
            }
        }
    }

    /// Waits until the peer has closed its sending half or reset the connection.
    ///
    /// Bytes that the peer has sent before stay unread. A peer that closes only its sending
    /// half counts as gone.
    pub async fn closed_by_peer(&self) {
        let peeked = self.socket.read_with(|socket| socket.peek(&mut [0])).await;
        let peeked = self.record_failure(peeked);
        if matches!(peeked, Ok(size_bytes) if size_bytes > 0) && self.hung_up().await.is_err() {
            // The end is found when the unread bytes have been read.
            pending::<()>().await;
        }
    }

    /// Waits for the event of the peer's end, which unread bytes do not hide.
    ///
    /// Readiness for reading cannot tell: the socket is readable all the while. The event is
    /// watched by an epoll instance of its own, which becomes readable itself (epoll(7)).
    async fn hung_up(&self) -> io::Result<()> {
        let events = epoll::create(CreateFlags::CLOEXEC)?;
        let socket = self.socket.get_ref();
        epoll::add(&events, socket, EventData::new_u64(0), EventFlags::RDHUP)?;
        Async::new_nonblocking(events)?.readable().await
    }

    /// Makes a close reset the connection and discard unsent data.
    pub fn reset_on_close(&self) {
        let _ = SockRef::from(self.socket.get_ref()).set_linger(Some(Duration::ZERO));
    }

    /// Shuts down the sending half.
    pub fn shutdown_write(&self) {
        let _ = self.socket.get_ref().shutdown(Shutdown::Write);
    }

    /// Reads and discards at most `limit_bytes`.
    ///
    /// Closing a socket with unread bytes resets the connection, and the peer
    /// may lose the answer sent before.
    pub async fn discard(&mut self, limit_bytes: usize) {
        let mut discarded = 0;
        while discarded < limit_bytes {
            self.buffer.clear();
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(size_bytes) => discarded += size_bytes,
            }
        }
    }
}

/// Connects from a local address.
async fn connect_from(source: IpAddr, address: SocketAddr) -> io::Result<Async<TcpStream>> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::new(source, 0).into())?;
    match socket.connect(&address.into()) {
        Ok(()) => {}
        Err(error) if is_in_progress(&error) => {}
        Err(error) => return Err(error),
    }
    let stream = Async::new(TcpStream::from(socket))?;
    // Writable once connected or failed (connect(2), EINPROGRESS).
    stream.writable().await?;
    match stream.get_ref().take_error()? {
        Some(error) => Err(error),
        None => Ok(stream),
    }
}

/// Returns whether an error means that the connection is being established.
fn is_in_progress(error: &io::Error) -> bool {
    const EINPROGRESS: i32 = 115;
    error.kind() == io::ErrorKind::WouldBlock || error.raw_os_error() == Some(EINPROGRESS)
}
