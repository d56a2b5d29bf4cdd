//! HTTP/1.1 messages on a socket (RFC 9112): where they begin and end.
//!
//! A message is taken off a connection to its exact last byte, so that what
//! follows belongs to the next message and to no other.

mod chunked;
mod exchange;
mod forwarded;
mod head;
mod headers;
mod message;
mod stream;

pub use exchange::{
    WholeResponse,
    read_response, //
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
    BodyReader,
    MessageError,
    Progress,
    read_body,
    read_head, //
};
pub use stream::{
    BufferedStream,
    IdleState, //
};
