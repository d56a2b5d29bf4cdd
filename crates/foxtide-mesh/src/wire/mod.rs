//! The encoded form of all messages, and its conversion.
//!
//! Field numbers are never used again; a reader skips fields it does not know.

mod convert;
mod invalid_message;
mod load;
mod messages;

pub(crate) use convert::{
    read_datagram,
    read_document,
    read_member,
    to_datagram, //
};
pub(crate) use invalid_message::InvalidMessage;
pub(crate) use load::{
    Load,
    read_load, //
};
pub(crate) use messages::{
    CallRequest,
    CallResponse,
    Datagram,
    FetchRequest,
    Header,
    Request,
    Response,
    Snapshot,
    datagram,
    request,
    response, //
};
