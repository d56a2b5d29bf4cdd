//! Streams answer bodies that exceed the buffer.

use crate::timeout::timeout;
use crate::traffic::Slot;
use foxtide_core::choice::{
    Completion,
    CompletionKind, //
};
use foxtide_http::{
    BodyLength,
    BodyReader,
    BufferedStream,
    MessageError,
    Progress, //
};
use std::fmt;
use std::time::Duration;

const CHUNKS_END: &[u8] = b"0\r\n\r\n";

/// Answer body of which the first part has been read.
///
/// It holds its slot at the upstream until the end. Its connection is not
/// reused.
pub(crate) struct LongBody {
    stream: BufferedStream,
    reader: BodyReader,
    length: BodyLength,
    /// Bytes that were read but not yet returned.
    piece: Vec<u8>,
    progress: Progress,
    piece_time: Duration,
    held: Option<HeldSlot>,
}

/// Slot, and the completion to report if the body is complete.
struct HeldSlot {
    slot: Slot,
    completion: Completion,
}

impl LongBody {
    /// Returns a body that starts with `piece`; `piece_time` is the time limit
    /// for each further piece.
    pub(super) fn new(
        stream: BufferedStream,
        reader: BodyReader,
        length: BodyLength,
        piece: Vec<u8>,
        piece_time: Duration,
    ) -> Self {
        Self {
            stream,
            reader,
            length,
            piece,
            progress: Progress::More,
            piece_time,
            held: None,
        }
    }

    /// Returns the length stated in the head.
    pub(crate) fn length(&self) -> BodyLength {
        self.length
    }

    /// Holds a slot until the end of the body.
    pub(crate) fn hold(&mut self, slot: Slot, completion: Completion) {
        self.held = Some(HeldSlot { slot, completion });
    }

    /// Returns the next bytes to send, framed as the head states, or `None` at
    /// the end.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is truncated or malformed.
    pub(crate) async fn next(&mut self) -> Result<Option<Vec<u8>>, MessageError> {
        if !self.piece.is_empty() {
            let piece = std::mem::take(&mut self.piece);
            return Ok(Some(self.frame(piece)));
        }
        if self.progress == Progress::End {
            self.finish(None);
            return Ok(None);
        }
        let read = self.reader.read_some(&mut self.stream, &mut self.piece);
        let read = timeout(self.piece_time, read).await;
        match read.unwrap_or(Err(MessageError::Truncated)) {
            Ok(progress) => self.progress = progress,
            Err(error) => {
                self.finish(Some(CompletionKind::Lost));
                return Err(error);
            }
        }
        let piece = std::mem::take(&mut self.piece);
        Ok(Some(self.frame(piece)))
    }

    fn finish(&mut self, broken: Option<CompletionKind>) {
        if let Some(mut held) = self.held.take() {
            held.completion.kind = broken.unwrap_or(held.completion.kind);
            held.slot.finish(held.completion);
        }
    }

    fn frame(&self, piece: Vec<u8>) -> Vec<u8> {
        if self.length != BodyLength::Chunked {
            return piece;
        }
        let mut framed = Vec::with_capacity(piece.len() + CHUNKS_END.len());
        if !piece.is_empty() {
            framed.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
            framed.extend_from_slice(&piece);
            framed.extend_from_slice(b"\r\n");
        }
        if self.progress == Progress::End {
            framed.extend_from_slice(CHUNKS_END);
        }
        framed
    }
}

impl fmt::Debug for LongBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LongBody")
            .field("length", &self.length)
            .finish_non_exhaustive()
    }
}
