//! Reads and writes HTTP/1.1 messages on sockets (RFC 9112).
//!
//! A message is read exactly to its last byte, so that following bytes belong
//! to the next message.

mod carried;
mod chunked;
mod exchange;
mod forwarded;
mod head;
mod headers;
mod message;
mod stream;

pub use carried::CarriedRequests;
pub use exchange::{
    WholeResponse,
    read_response,
    read_response_observed, //
};
pub use forwarded::{
    ForwardedRequest,
    ForwardedResponse,
    HeaderLines, //
};
pub use head::{
    BodyLength,
    HeadError,
    RequestHead,
    ResponseHead, //
};
pub use headers::{
    empty_headers,
    name, //
};
pub use message::{
    BodyAllowance,
    BodyReader,
    MessageError,
    Progress,
    UnlimitedAllowance,
    read_body,
    read_growing_body,
    read_head, //
};
pub use stream::{
    BufferedStream,
    IdleState, //
};
