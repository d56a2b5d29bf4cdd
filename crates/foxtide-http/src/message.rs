//! Reads message heads and bodies from a connection.

use crate::chunked::{
    ChunkDecoder,
    Step, //
};
use crate::head::{
    BodyLength,
    HeadError, //
};
use crate::stream::BufferedStream;
use std::future::Future;
use std::io;

/// Maximum number of bytes that one read adds to a body, and to one of a stated length, which is
/// read in larger pieces.
const READ_MAX_BYTES: usize = 8 * 1_024;
const READ_BULK_MAX_BYTES: usize = 68 * 1_024;

/// Divisor of the size of a body for the next growth of its buffer.
const GROWTH_DIVISOR: usize = 4;

/// Maximum length of the empty line that ends a head.
const EMPTY_LINE_MAX_BYTES: usize = 2;

/// Reason why a message could not be read.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// A socket operation failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The connection ended within a message.
    #[error("connection ended within a message")]
    Truncated,
    /// The head exceeds the limit.
    #[error("head exceeds the size limit")]
    HeadTooLong,
    /// The body exceeds the limit.
    #[error("body exceeds the size limit")]
    BodyTooLong,
    /// The chunked body is malformed.
    #[error("malformed chunked body")]
    BadChunk,
    /// Bytes follow the stated end of the body.
    #[error("bytes follow the stated end of the body")]
    TrailingBytes,
    /// There is no memory for the body.
    #[error("no memory for the body")]
    NoMemory,
    /// The body has no stated end, so that truncation is undetectable.
    #[error("body has no stated length")]
    UnknownLength,
    /// The head is rejected.
    #[error(transparent)]
    Head(#[from] HeadError),
}

/// Reads a head, including the empty line.
///
/// Returns `None` if the connection ends before the first byte.
///
/// # Errors
///
/// Returns an error if the head is incomplete or exceeds `limit_bytes`.
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

/// Returns the size of the head at the start of `bytes`, if it is complete.
///
/// A bare line feed ends a line too, as it does for the parser (RFC 9112, section 2.2).
fn head_size(bytes: &[u8], searched_bytes: usize) -> Option<usize> {
    let from = searched_bytes.saturating_sub(EMPTY_LINE_MAX_BYTES);
    let mut line_ends = (from..bytes.len()).filter(|&at| bytes[at] == b'\n');
    line_ends.find_map(|at| match &bytes[at + 1..] {
        [b'\n', ..] => Some(at + 2),
        [b'\r', b'\n', ..] => Some(at + 3),
        _ => None,
    })
}

/// Reads a complete body of at most `limit_bytes`, with the chunked coding
/// removed.
///
/// # Errors
///
/// Returns an error if the body is too long, truncated or malformed, or has no
/// stated end.
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

/// Memory for a body while it arrives.
pub trait BodyAllowance: Send {
    /// Asks for memory for `more_bytes` of the body, perhaps after a wait; returns whether it is
    /// granted.
    fn grow(&mut self, more_bytes: usize) -> impl Future<Output = bool> + Send;
}

/// An allowance without a bound.
#[derive(Clone, Copy, Debug, Default)]
pub struct UnlimitedAllowance;

impl BodyAllowance for UnlimitedAllowance {
    async fn grow(&mut self, _more_bytes: usize) -> bool {
        true
    }
}

/// Reads a complete body of at most `limit_bytes`, with the chunked coding
/// removed. Its buffer grows by steps, for each of which `allowance` is asked
/// before.
///
/// A body without a stated length ends when the connection closes; a reset is
/// an error.
///
/// # Errors
///
/// Returns an error if the body is too long, truncated or malformed, or if the
/// allowance refuses a step.
pub async fn read_growing_body(
    stream: &mut BufferedStream,
    length: BodyLength,
    limit_bytes: usize,
    allowance: &mut impl BodyAllowance,
) -> Result<Vec<u8>, MessageError> {
    // The size of the body if it is stated, and what one read adds to it at most.
    let (stated_bytes, read_max_bytes) = match length {
        BodyLength::None => (0, 0),
        BodyLength::Fixed { size_bytes } if size_bytes > limit_bytes as u64 => {
            return Err(MessageError::BodyTooLong);
        }
        BodyLength::Fixed { size_bytes } => (size_bytes as usize, READ_BULK_MAX_BYTES),
        BodyLength::Chunked | BodyLength::UntilClose => (usize::MAX, READ_MAX_BYTES),
    };
    let mut reader = BodyReader::new(length).unwrap_or(BodyReader::UntilClose);
    let mut body = Vec::new();
    let mut progress = Progress::More;
    while progress == Progress::More {
        let left_bytes = stated_bytes - body.len();
        let free_bytes = body.capacity() - body.len();
        if free_bytes < left_bytes.min(read_max_bytes) {
            let step_bytes = (2 * read_max_bytes).max(body.len() / GROWTH_DIVISOR);
            let step_bytes = step_bytes.min(left_bytes - free_bytes);
            if !allowance.grow(step_bytes).await {
                return Err(MessageError::NoMemory);
            }
            body.reserve_exact(free_bytes + step_bytes);
        }
        progress = reader.read_some(stream, &mut body).await?;
        if body.len() > limit_bytes {
            return Err(MessageError::BodyTooLong);
        }
    }
    body.shrink_to_fit();
    Ok(body)
}

/// Whether a body has been read completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// More of the body is to come.
    More,
    /// The body is complete.
    End,
}

/// Incremental reader of a body, with the chunked coding removed.
#[derive(Debug)]
pub enum BodyReader {
    /// Body with a stated length.
    Fixed {
        /// Number of bytes still to be read.
        left_bytes: u64,
    },
    /// Chunked body.
    Chunked(ChunkDecoder),
    /// Body that ends when the connection closes.
    UntilClose,
}

impl BodyReader {
    /// Returns a reader at the start of a body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body has no stated end.
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

    /// Reads part of the body and appends it to `body`.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is truncated or malformed.
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
            Self::Chunked(_) | Self::UntilClose => stream.fill().await?,
        };
        if read_bytes == 0 {
            return match self {
                Self::UntilClose => Ok(Progress::End),
                Self::Fixed { .. } | Self::Chunked(_) => Err(MessageError::Truncated),
            };
        }
        self.take(stream, body)
    }

    /// Takes buffered bytes without reading from the socket.
    fn take(
        &mut self,
        stream: &mut BufferedStream,
        body: &mut Vec<u8>,
    ) -> Result<Progress, MessageError> {
        match self {
            Self::Fixed { left_bytes } => {
                let available = stream.buffered().len();
                let wanted = usize::try_from(*left_bytes).unwrap_or(usize::MAX);
                let taken = stream.consume(available.min(wanted));
                *left_bytes -= taken.len() as u64;
                append(body, taken);
                Ok(match left_bytes {
                    0 => Progress::End,
                    _ => Progress::More,
                })
            }
            Self::UntilClose => {
                let size_bytes = stream.buffered().len();
                append(body, stream.consume(size_bytes));
                Ok(Progress::More)
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

/// Appends `piece`, without a copy if `body` holds no memory.
fn append(body: &mut Vec<u8>, piece: Vec<u8>) {
    if body.capacity() == 0 {
        *body = piece;
    } else {
        body.extend_from_slice(&piece);
    }
}
