//! Wire format of all messages (Protocol Buffers) and its conversion.
//!
//! Tags are never reused; readers skip unknown fields.

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
