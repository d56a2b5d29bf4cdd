//! Reads heads and bodies off a connection, to their exact end.

use super::chunked::{ChunkDecoder, Step};
use super::head::{BodyLength, HeadError};
use super::stream::BufferedStream;
use std::io;

const HEAD_END: &[u8] = b"\r\n\r\n";

/// Why no whole message was read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum MessageError {
    /// The socket failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// The connection ended inside a message.
    #[error("the connection ended inside a message")]
    Truncated,
    /// The head is longer than allowed.
    #[error("the head is too long")]
    HeadTooLong,
    /// The body is longer than allowed.
    #[error("the body is too long")]
    BodyTooLong,
    /// The body is not in chunks as its head says.
    #[error("the chunks are malformed")]
    BadChunk,
    /// The end of the body cannot be told from a cut.
    #[error("the body has no stated end")]
    NoStatedEnd,
    /// The head was refused.
    #[error(transparent)]
    Head(#[from] HeadError),
}

/// Reads the bytes of a head, the empty line included.
///
/// Returns nothing where the connection ended before the first byte.
///
/// # Errors
///
/// Fails where no whole head of at most `limit_bytes` came.
pub(crate) async fn read_head(
    stream: &mut BufferedStream,
    limit_bytes: usize,
) -> Result<Option<Vec<u8>>, MessageError> {
    let mut searched_bytes = 0;
    loop {
        if let Some(size_bytes) = head_size(stream.buffered(), searched_bytes) {
            if size_bytes > limit_bytes {
                return Err(MessageError::HeadTooLong);
            }
            return Ok(Some(stream.consume(size_bytes)));
        }
        searched_bytes = stream.buffered().len();
        if searched_bytes > limit_bytes {
            return Err(MessageError::HeadTooLong);
        }
        if stream.fill().await? == 0 {
            return match searched_bytes {
                0 => Ok(None),
                _ => Err(MessageError::Truncated),
            };
        }
    }
}

/// Returns the size of the head that `bytes` begin with, if it is whole.
fn head_size(bytes: &[u8], searched_bytes: usize) -> Option<usize> {
    let from = searched_bytes.saturating_sub(HEAD_END.len() - 1);
    let found = bytes[from..]
        .windows(HEAD_END.len())
        .position(|window| window == HEAD_END)?;
    Some(from + found + HEAD_END.len())
}

/// Reads a whole body of at most `limit_bytes`, decoded where it is in chunks.
///
/// # Errors
///
/// Fails where the body is too long, is cut, or has no stated end.
pub(crate) async fn read_body(
    stream: &mut BufferedStream,
    length: BodyLength,
    limit_bytes: usize,
) -> Result<Vec<u8>, MessageError> {
    match length {
        BodyLength::None => Ok(Vec::new()),
        BodyLength::UntilClose => Err(MessageError::NoStatedEnd),
        BodyLength::Chunked => read_chunks(stream, limit_bytes).await,
        BodyLength::Fixed { size_bytes } => match usize::try_from(size_bytes) {
            Ok(size_bytes) if size_bytes <= limit_bytes => read_fixed(stream, size_bytes).await,
            _ => Err(MessageError::BodyTooLong),
        },
    }
}

async fn read_fixed(
    stream: &mut BufferedStream,
    size_bytes: usize,
) -> Result<Vec<u8>, MessageError> {
    while stream.buffered().len() < size_bytes {
        if stream.fill().await? == 0 {
            return Err(MessageError::Truncated);
        }
    }
    Ok(stream.consume(size_bytes))
}

async fn read_chunks(
    stream: &mut BufferedStream,
    limit_bytes: usize,
) -> Result<Vec<u8>, MessageError> {
    let mut decoder = ChunkDecoder::new();
    let mut body = Vec::new();
    loop {
        let decoded = decoder.decode(stream.buffered(), &mut body);
        let (used_bytes, step) = decoded.map_err(|_| MessageError::BadChunk)?;
        stream.consume(used_bytes);
        if body.len() > limit_bytes {
            return Err(MessageError::BodyTooLong);
        }
        if step == Step::End {
            return Ok(body);
        }
        if stream.fill().await? == 0 {
            return Err(MessageError::Truncated);
        }
    }
}
