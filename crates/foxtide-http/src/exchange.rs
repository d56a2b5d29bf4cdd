//! Reads the complete response to a request.

use crate::forwarded::ForwardedResponse;
use crate::head::BodyLength;
use crate::message::{
    BodyAllowance,
    MessageError,
    UnlimitedAllowance,
    read_growing_body,
    read_head, //
};
use crate::stream::BufferedStream;

/// Maximum size of a response head.
const RESPONSE_HEAD_MAX_BYTES: usize = 64 * 1_024;

/// Maximum number of interim responses (1xx) before the final one.
const INTERIM_RESPONSES_MAX: usize = 8;

/// Complete response.
#[derive(Clone, Debug)]
pub struct WholeResponse {
    /// Head.
    pub head: ForwardedResponse,
    /// Body, with the chunked coding removed.
    pub body: Vec<u8>,
}

impl WholeResponse {
    /// Returns whether the connection can be reused after this response.
    pub fn keeps_connection(&self) -> bool {
        !self.head.close && self.head.length != BodyLength::UntilClose
    }
}

/// Reads the complete final response to a request of `method`.
///
/// A body without a stated length ends when the connection closes; a reset is
/// an error.
///
/// # Errors
///
/// Returns an error if the response is incomplete or malformed, or if its body
/// exceeds `limit_bytes`.
pub async fn read_response(
    stream: &mut BufferedStream,
    method: &str,
    limit_bytes: usize,
) -> Result<WholeResponse, MessageError> {
    let allowance = &mut UnlimitedAllowance;
    read_response_observed(stream, method, limit_bytes, allowance, |_| {}).await
}

/// Reads a response like [`read_response`], whose body takes its memory from `allowance`, and passes
/// each head to `observe` as soon as it is read, also those of interim responses.
///
/// # Errors
///
/// Returns the errors of [`read_response`].
pub async fn read_response_observed(
    stream: &mut BufferedStream,
    method: &str,
    limit_bytes: usize,
    allowance: &mut impl BodyAllowance,
    observe: impl FnMut(&ForwardedResponse),
) -> Result<WholeResponse, MessageError> {
    let head = read_final_head(stream, observe).await?;
    let length = head.body_length(method);
    let body = read_growing_body(stream, length, limit_bytes, allowance).await?;
    Ok(WholeResponse { head, body })
}

async fn read_final_head(
    stream: &mut BufferedStream,
    mut observe: impl FnMut(&ForwardedResponse),
) -> Result<ForwardedResponse, MessageError> {
    for _ in 0..INTERIM_RESPONSES_MAX {
        let bytes = read_head(stream, RESPONSE_HEAD_MAX_BYTES).await?;
        let bytes = bytes.ok_or(MessageError::Truncated)?;
        let head = ForwardedResponse::parse(&bytes)?;
        observe(&head);
        if !head.is_interim() {
            return Ok(head);
        }
    }
    Err(MessageError::Truncated)
}
