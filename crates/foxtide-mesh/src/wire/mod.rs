//! The encoded form of all messages, and its conversion.
//!
//! Field numbers are never used again; a reader skips fields it does not know.

mod convert;
mod messages;

pub(crate) use convert::{datagram, read_datagram, read_document, read_member};
pub(crate) use messages::{
    CallRequest, CallResponse, Datagram, FetchRequest, Header, Request, Response, Snapshot,
    request, response,
};
