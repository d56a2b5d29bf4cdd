//! Reads heads and bodies off a connection, to their exact end.

use crate::chunked::{
    ChunkDecoder,
    Step, //
};
use crate::head::{
    BodyLength,
    HeadError, //
};
use crate::stream::BufferedStream;
use std::io;

const HEAD_END: &[u8] = b"\r\n\r\n";

/// Why no whole message was read.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
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
    /// More follows the body than its head states.
    #[error("more follows the body than its head states")]
    TrailingBytes,
    /// The end of the body cannot be told from a cut.
    #[error("the body has no stated end")]
    UnknownLength,
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
pub async fn read_head(
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
pub async fn read_body(
    stream: &mut BufferedStream,
    length: BodyLength,
    limit_bytes: usize,
) -> Result<Vec<u8>, MessageError> {
    if let BodyLength::Fixed { size_bytes } = length
        && size_bytes > limit_bytes as u64
    {
        return Err(MessageError::BodyTooLong);
    }
    let mut reader = BodyReader::new(length)?;
    let mut body = Vec::new();
    while reader.read_some(stream, &mut body).await? == Progress::More {
        if body.len() > limit_bytes {
            return Err(MessageError::BodyTooLong);
        }
    }
    Ok(body)
}

/// Whether more of a body is to come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// More is to come.
    More,
    /// The body was read to its exact end.
    End,
}

/// Reads a body piece by piece, decoded where it is in chunks.
#[derive(Debug)]
pub enum BodyReader {
    /// The head states the length.
    Fixed {
        /// What is still to be read.
        left_bytes: u64,
    },
    /// The body is in chunks.
    Chunked(ChunkDecoder),
}

impl BodyReader {
    /// Returns a reader at the beginning of a body.
    ///
    /// # Errors
    ///
    /// Fails where the body's end cannot be told from a cut.
    pub fn new(length: BodyLength) -> Result<Self, MessageError> {
        match length {
            BodyLength::None => Ok(Self::Fixed { left_bytes: 0 }),
            BodyLength::Fixed { size_bytes } => Ok(Self::Fixed {
                left_bytes: size_bytes,
            }),
            BodyLength::Chunked => Ok(Self::Chunked(ChunkDecoder::new())),
            BodyLength::UntilClose => Err(MessageError::UnknownLength),
        }
    }

    /// Reads some of the body and appends it to `body`.
    ///
    /// # Errors
    ///
    /// Fails where the body is cut or malformed.
    pub async fn read_some(
        &mut self,
        stream: &mut BufferedStream,
        body: &mut Vec<u8>,
    ) -> Result<Progress, MessageError> {
        if self.take(stream, body)? == Progress::End {
            return Ok(Progress::End);
        }
        let read_bytes = match self {
            Self::Fixed { left_bytes } => stream.fill_body(*left_bytes).await?,
            Self::Chunked(_) => stream.fill().await?,
        };
        if read_bytes == 0 {
            return Err(MessageError::Truncated);
        }
        self.take(stream, body)
    }

    /// Takes what the connection has at hand.
    fn take(
        &mut self,
        stream: &mut BufferedStream,
        body: &mut Vec<u8>,
    ) -> Result<Progress, MessageError> {
        match self {
            Self::Fixed { left_bytes } => {
                let at_hand = stream.buffered().len();
                let wanted = usize::try_from(*left_bytes).unwrap_or(usize::MAX);
                let taken = stream.consume(at_hand.min(wanted));
                *left_bytes -= taken.len() as u64;
                append(body, taken);
                Ok(match left_bytes {
                    0 => Progress::End,
                    _ => Progress::More,
                })
            }
            Self::Chunked(decoder) => {
                let decoded = decoder.decode(stream.buffered(), body);
                let (used_bytes, step) = decoded.map_err(|_| MessageError::BadChunk)?;
                stream.consume(used_bytes);
                Ok(match step {
                    Step::End => Progress::End,
                    Step::More => Progress::More,
                })
            }
        }
    }
}

/// Appends without a copy where there was nothing before.
fn append(body: &mut Vec<u8>, piece: Vec<u8>) {
    if body.is_empty() {
        *body = piece;
    } else {
        body.extend_from_slice(&piece);
    }
}
