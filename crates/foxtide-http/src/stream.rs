//! A socket with what was read from it beyond the last message.

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
use std::time::Duration;

/// Enough for most messages; it is cleared for each read.
const READ_CHUNK_BYTES: usize = 4 * 1_024;

/// What is read at a time of a long body.
const READ_BULK_BYTES: usize = 64 * 1_024;

/// What a look at an idle socket found, without taking anything off it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleState {
    /// Nothing waits and the peer has not closed.
    Idle,
    /// Bytes wait that nobody asked for, or the peer has closed.
    Readable,
}

/// A TCP connection that counts what it sends and keeps what it read ahead.
///
/// It holds no memory for reading while it waits, so that an idle connection
/// is cheap.
#[derive(Debug)]
pub struct BufferedStream {
    socket: Async<TcpStream>,
    buffer: Vec<u8>,
    sent_bytes: u64,
}

impl BufferedStream {
    /// Wraps a connected socket.
    pub fn new(socket: Async<TcpStream>) -> Self {
        // Answers are written whole, so waiting to fill packets only delays them.
        let _ = socket.get_ref().set_nodelay(true);
        Self {
            socket,
            buffer: Vec::new(),
            sent_bytes: 0,
        }
    }

    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// Fails where the peer does not take the connection.
    pub async fn connect(address: SocketAddr, source: Option<IpAddr>) -> io::Result<Self> {
        let socket = match source {
            Some(source) => connect_from(source, address).await?,
            None => Async::<TcpStream>::connect(address).await?,
        };
        Ok(Self::new(socket))
    }

    /// Has the system fail the connection where what was sent stays
    /// unacknowledged for `limit`: the peer has lost power or is cut off.
    ///
    /// # Errors
    ///
    /// Fails where the system does not know the option.
    pub fn set_user_timeout(&self, limit: Duration) -> io::Result<()> {
        SockRef::from(self.socket.get_ref()).set_tcp_user_timeout(Some(limit))
    }

    /// Returns what was read and not yet consumed.
    pub fn buffered(&self) -> &[u8] {
        &self.buffer
    }

    /// Removes and returns the first `size_bytes` of what was read.
    pub fn consume(&mut self, size_bytes: usize) -> Vec<u8> {
        let rest = self.buffer.split_off(size_bytes);
        std::mem::replace(&mut self.buffer, rest)
    }

    /// Returns how many bytes the system has taken for sending so far.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes
    }

    /// Reads more and returns how many bytes came; 0 at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails as the socket does.
    pub async fn fill(&mut self) -> io::Result<usize> {
        let buffer = &mut self.buffer;
        let read = |mut socket: &TcpStream| {
            let mut chunk = [0; READ_CHUNK_BYTES];
            let size_bytes = socket.read(&mut chunk)?;
            buffer.extend_from_slice(&chunk[..size_bytes]);
            Ok(size_bytes)
        };
        // `Async` takes `FnMut(&T)`, and `Read` is there for `&TcpStream`.
        self.socket.read_with(read).await
    }

    /// Reads more of a body of which `left_bytes` are missing; returns how many
    /// bytes came, 0 at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails as the socket does.
    pub async fn fill_body(&mut self, left_bytes: u64) -> io::Result<usize> {
        if left_bytes <= READ_CHUNK_BYTES as u64 {
            return self.fill().await;
        }
        // Nothing is allocated until there is something to be read.
        self.socket.readable().await?;
        let buffer = &mut self.buffer;
        let read = |mut socket: &TcpStream| {
            let start = buffer.len();
            buffer.resize(start + READ_BULK_BYTES, 0);
            let read = socket.read(&mut buffer[start..]);
            buffer.truncate(start + *read.as_ref().unwrap_or(&0));
            read
        };
        self.socket.read_with(read).await
    }

    /// Writes all of `bytes`.
    ///
    /// # Errors
    ///
    /// Fails as the socket does; [`Self::sent_bytes`] then tells how far it came.
    pub async fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut rest = bytes;
        while !rest.is_empty() {
            let written = self
                .socket
                .write_with(|mut socket: &TcpStream| socket.write(rest))
                .await?;
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            self.sent_bytes += written as u64;
            rest = &rest[written..];
        }
        Ok(())
    }

    /// Looks whether the connection is open with nothing waiting on it.
    pub fn idle_state(&self) -> IdleState {
        if !self.buffer.is_empty() {
            return IdleState::Readable;
        }
        match self.socket.get_ref().peek(&mut [0]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => IdleState::Idle,
            _ => IdleState::Readable,
        }
    }

    /// Waits until the peer has closed or reset the connection.
    ///
    /// Never returns where the peer sends more instead: it is still there.
    pub async fn closed_by_peer(&self) {
        let peeked = self.socket.read_with(|socket| socket.peek(&mut [0])).await;
        if matches!(peeked, Ok(size_bytes) if size_bytes > 0) {
            pending::<()>().await;
        }
    }

    /// Ends the sending half: the peer reads the end after all that was sent.
    pub fn shutdown_write(&self) {
        let _ = self.socket.get_ref().shutdown(Shutdown::Write);
    }

    /// Reads and drops what still comes, at most `limit_bytes`.
    ///
    /// A socket closed with unread bytes resets the connection, and the peer
    /// may then lose the answer that was sent before.
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

/// Connects from an address of this machine's own.
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
    // The connection is made, or has failed, once it can be written to
    // (connect(2), EINPROGRESS).
    stream.writable().await?;
    match stream.get_ref().take_error()? {
        Some(error) => Err(error),
        None => Ok(stream),
    }
}

/// Tells whether a connection is being made, which is no failure.
fn is_in_progress(error: &io::Error) -> bool {
    const EINPROGRESS: i32 = 115;
    error.kind() == io::ErrorKind::WouldBlock || error.raw_os_error() == Some(EINPROGRESS)
}
