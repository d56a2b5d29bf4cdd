//! Writes replies to callers, those with large bodies at the pace of the instance's link.

use crate::lifecycle::Lifecycle;
use crate::link::{
    Link,
    PacedMessage, //
};
use foxtide_core::link::PIECE_MAX;
use foxtide_core::units::ByteSize;
use foxtide_http::BufferedStream;
use futures_lite::future::or;
use smol::Timer;
use std::io;
use std::time::{
    Duration,
    Instant, //
};

/// How long a caller may take to read a reply, without the time that the reply waits for the link.
const REPLY_TIMEOUT: Duration = Duration::from_secs(20);

/// Writes replies on a connection.
#[derive(Debug)]
pub(super) struct ReplyWriter<'a> {
    pub(super) stream: &'a mut BufferedStream,
    pub(super) link: &'a Link,
    pub(super) lifecycle: &'a Lifecycle,
}

impl ReplyWriter<'_> {
    /// Writes a reply whose body has the size `body`.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails or the caller reads too slowly.
    pub(super) async fn write(&mut self, reply: &[u8], body: ByteSize) -> io::Result<()> {
        let mut time_left = REPLY_TIMEOUT;
        let paced = self.link.begin(body, reply.len());
        let Some(mut paced) = paced.filter(|_| !self.lifecycle.is_stopping()) else {
            return write_within(self.stream, reply, &mut time_left).await;
        };
        let mut rest = reply;
        while !rest.is_empty() {
            let turn_bytes = self.turn(&mut paced, rest.len()).await;
            let (turn, later) = rest.split_at(turn_bytes);
            for piece in turn.chunks(PIECE_MAX.get() as usize) {
                write_within(self.stream, piece, &mut time_left).await?;
            }
            rest = later;
        }
        Ok(())
    }

    /// Waits until more of a reply may be written; returns how much. In a stop this is all that
    /// is left: the process ends soon.
    async fn turn(&self, paced: &mut PacedMessage<'_>, left_bytes: usize) -> usize {
        let stopping = async {
            self.lifecycle.stopping().await;
            left_bytes
        };
        or(paced.turn(), stopping).await
    }
}

/// Writes within `time_left` and reduces it by the time that this took.
async fn write_within(
    stream: &mut BufferedStream,
    bytes: &[u8],
    time_left: &mut Duration,
) -> io::Result<()> {
    let began_at = Instant::now();
    let timeout = *time_left;
    let late = async {
        Timer::after(timeout).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    or(stream.write_all(bytes), late).await?;
    *time_left = timeout.saturating_sub(began_at.elapsed());
    Ok(())
}
