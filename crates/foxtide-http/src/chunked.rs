//! Decoder of chunked bodies (RFC 9112, section 7.1).

/// Maximum length of a chunk-size line or a trailer line.
const LINE_MAX_BYTES: usize = 256;

/// Maximum size of all extensions and trailer lines of a body, which are dropped.
const DROPPED_MAX_BYTES: usize = 64 * 1_024;

/// Result of decoding the available input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// More input is needed.
    More,
    /// The body is complete.
    End,
}

/// The input is not a valid chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadChunk;

#[derive(Clone, Copy, Debug)]
enum State {
    Size,
    Data { left_bytes: u64 },
    DataEnd,
    Trailer,
}

/// Incremental decoder of a chunked body.
#[derive(Debug)]
pub struct ChunkDecoder {
    state: State,
    dropped_bytes: usize,
}

impl ChunkDecoder {
    /// Returns a decoder at the start of a body.
    pub fn new() -> Self {
        Self {
            state: State::Size,
            dropped_bytes: 0,
        }
    }

    /// Decodes as much of `input` as possible and appends the data to `body`.
    ///
    /// Returns the number of bytes consumed and whether more input is needed.
    ///
    /// # Errors
    ///
    /// Returns an error if the input is malformed.
    pub fn decode(&mut self, input: &[u8], body: &mut Vec<u8>) -> Result<(usize, Step), BadChunk> {
        let mut used = 0;
        loop {
            let rest = &input[used..];
            let Some((size_bytes, end)) = self.decode_one(rest, body)? else {
                return Ok((used, Step::More));
            };
            used += size_bytes;
            if end {
                return Ok((used, Step::End));
            }
        }
    }

    /// Decodes one element; returns its size and whether the body is complete.
    fn decode_one(
        &mut self,
        input: &[u8],
        body: &mut Vec<u8>,
    ) -> Result<Option<(usize, bool)>, BadChunk> {
        match self.state {
            State::Size => {
                let Some(line) = line(input)? else {
                    return Ok(None);
                };
                let digits = line.split(|&byte| byte == b';').next().unwrap_or_default();
                self.count_dropped(line.len() - digits.len())?;
                self.state = match chunk_size(digits)? {
                    0 => State::Trailer,
                    left_bytes => State::Data { left_bytes },
                };
                Ok(Some((line.len() + 2, false)))
            }
            State::Data { left_bytes } => Ok(self.take_data(input, left_bytes, body)),
            State::DataEnd => {
                let Some(line) = line(input)? else {
                    return Ok(None);
                };
                if !line.is_empty() {
                    return Err(BadChunk);
                }
                self.state = State::Size;
                Ok(Some((2, false)))
            }
            State::Trailer => {
                let Some(line) = line(input)? else {
                    return Ok(None);
                };
                self.count_dropped(line.len())?;
                Ok(Some((line.len() + 2, line.is_empty())))
            }
        }
    }

    /// Counts bytes of an extension or a trailer line.
    fn count_dropped(&mut self, size_bytes: usize) -> Result<(), BadChunk> {
        self.dropped_bytes += size_bytes;
        if self.dropped_bytes > DROPPED_MAX_BYTES {
            return Err(BadChunk);
        }
        Ok(())
    }

    fn take_data(
        &mut self,
        input: &[u8],
        left_bytes: u64,
        body: &mut Vec<u8>,
    ) -> Option<(usize, bool)> {
        if input.is_empty() {
            return None;
        }
        let size_bytes = input
            .len()
            .min(usize::try_from(left_bytes).unwrap_or(usize::MAX));
        body.extend_from_slice(&input[..size_bytes]);
        self.state = match left_bytes - size_bytes as u64 {
            0 => State::DataEnd,
            left_bytes => State::Data { left_bytes },
        };
        Some((size_bytes, false))
    }
}

/// Returns the first line without its CRLF, or `None` if it is incomplete.
fn line(input: &[u8]) -> Result<Option<&[u8]>, BadChunk> {
    let Some(end) = input.iter().position(|&byte| byte == b'\n') else {
        if input.len() > LINE_MAX_BYTES {
            return Err(BadChunk);
        }
        return Ok(None);
    };
    input[..end].strip_suffix(b"\r").map(Some).ok_or(BadChunk)
}

fn chunk_size(digits: &[u8]) -> Result<u64, BadChunk> {
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(BadChunk);
    }
    let text = std::str::from_utf8(digits).map_err(|_| BadChunk)?;
    u64::from_str_radix(text, 16).map_err(|_| BadChunk)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn decode_split(input: &[u8], at: usize) -> Result<(Vec<u8>, usize, Step), BadChunk> {
        let mut decoder = ChunkDecoder::new();
        let mut body = Vec::new();
        let (first, step) = decoder.decode(&input[..at], &mut body)?;
        if step == Step::End {
            return Ok((body, first, step));
        }
        let (second, step) = decoder.decode(&input[first..], &mut body)?;
        Ok((body, first + second, step))
    }

    #[test]
    fn verify_chunks_decode_wherever_they_are_split() {
        let input = b"4;x=y\r\nfoxt\r\n3\r\nide\r\n0\r\nt: v\r\n\r\nNEXT";
        for at in 0..input.len() {
            let (body, used, step) = decode_split(input, at).unwrap();
            assert_eq!(body, b"foxtide", "split at {at}");
            assert_eq!(&input[used..], b"NEXT", "split at {at}");
            assert_eq!(step, Step::End);
        }
    }

    #[test]
    fn verify_bad_chunks_are_refused() {
        for input in [
            "x\r\n",
            "\r\n",
            "-1\r\n",
            "1\nab",
            "1\r\nabc\r\n",
            "+1\r\na\r\n",
        ] {
            let mut body = Vec::new();
            let decoded = ChunkDecoder::new().decode(input.as_bytes(), &mut body);
            assert_eq!(decoded, Err(BadChunk), "{input:?}");
        }
    }
}
