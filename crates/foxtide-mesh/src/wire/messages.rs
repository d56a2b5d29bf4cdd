//! Wire format of the messages.

use super::load::Load;

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Header {
    /// The sender's protocol version.
    #[prost(uint32, tag = "1")]
    pub(crate) version: u32,
    /// The oldest protocol version that can read the message.
    #[prost(uint32, tag = "2")]
    pub(crate) minimum_version: u32,
    /// The hash of the cluster's name.
    #[prost(fixed64, tag = "3")]
    pub(crate) cluster: u64,
    #[prost(string, tag = "4")]
    pub(crate) sender: String,
    /// The start of the sending process, since the Unix epoch.
    #[prost(uint64, tag = "5")]
    pub(crate) epoch_us: u64,
    /// The sequence number of the message in its process.
    #[prost(uint64, tag = "6")]
    pub(crate) sequence: u64,
    /// The hybrid clock at the time of sending; 0 if there is none.
    #[prost(uint64, tag = "7")]
    pub(crate) clock_us: u64,
    #[prost(uint32, tag = "8")]
    pub(crate) clock_counter: u32,
}

/// A datagram: its body and piggybacked rumours.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Datagram {
    #[prost(message, optional, tag = "1")]
    pub(crate) header: Option<Header>,
    #[prost(oneof = "datagram::Body", tags = "2, 3, 4, 5, 6, 10")]
    pub(crate) body: Option<datagram::Body>,
    #[prost(message, repeated, tag = "7")]
    pub(crate) members: Vec<Member>,
    #[prost(message, repeated, tag = "8")]
    pub(crate) suspicions: Vec<Suspicion>,
    #[prost(message, repeated, tag = "9")]
    pub(crate) announcements: Vec<Announcement>,
}

/// Bodies of datagrams.
pub(crate) mod datagram {
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub(crate) enum Body {
        #[prost(message, tag = "2")]
        Ping(super::Ping),
        #[prost(uint64, tag = "3")]
        Ack(u64),
        #[prost(message, tag = "4")]
        PingRequest(super::PingRequest),
        #[prost(message, tag = "5")]
        Rumours(super::Empty),
        #[prost(message, tag = "6")]
        Digest(super::Digest),
        #[prost(message, tag = "10")]
        Load(super::Load),
    }
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct Empty {}

/// Probes an instance, which responds with an ack.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Ping {
    #[prost(uint64, tag = "1")]
    pub(crate) probe: u64,
    #[prost(string, tag = "2")]
    pub(crate) target: String,
}

/// Requests an indirect probe of another instance.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct PingRequest {
    #[prost(uint64, tag = "1")]
    pub(crate) probe: u64,
    #[prost(string, tag = "2")]
    pub(crate) target: String,
    #[prost(message, optional, tag = "3")]
    pub(crate) address: Option<Address>,
}

/// Hashes of the sender's state.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct Digest {
    #[prost(fixed64, tag = "1")]
    pub(crate) members_hash: u64,
    #[prost(fixed64, tag = "2")]
    pub(crate) configuration_hash: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Address {
    /// Four bytes for IPv4, sixteen for IPv6.
    #[prost(bytes = "vec", tag = "1")]
    pub(crate) ip: Vec<u8>,
    #[prost(uint32, tag = "2")]
    pub(crate) port: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum State {
    Alive = 0,
    Suspect = 1,
    Leaving = 2,
    Dead = 3,
    Joining = 4,
}

/// A member and its state.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Member {
    #[prost(string, tag = "1")]
    pub(crate) instance: String,
    #[prost(string, tag = "2")]
    pub(crate) region: String,
    #[prost(string, tag = "3")]
    pub(crate) availability_zone: String,
    #[prost(message, optional, tag = "4")]
    pub(crate) peer_address: Option<Address>,
    #[prost(message, optional, tag = "5")]
    pub(crate) caller_address: Option<Address>,
    #[prost(uint64, tag = "6")]
    pub(crate) incarnation: u64,
    #[prost(enumeration = "State", tag = "7")]
    pub(crate) state: i32,
    #[prost(fixed64, tag = "8")]
    pub(crate) process: u64,
}

/// A suspected member and the instance that suspects it.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Suspicion {
    #[prost(message, optional, tag = "1")]
    pub(crate) member: Option<Member>,
    #[prost(string, tag = "2")]
    pub(crate) by: String,
}

/// A document revision that the sender holds.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Announcement {
    #[prost(string, tag = "1")]
    pub(crate) organisation: String,
    #[prost(uint64, tag = "2")]
    pub(crate) revision: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Document {
    #[prost(string, tag = "1")]
    pub(crate) organisation: String,
    #[prost(uint64, tag = "2")]
    pub(crate) revision: u64,
    #[prost(bytes = "vec", tag = "3")]
    pub(crate) bytes: Vec<u8>,
}

/// The full state of an instance, with announcements in place of documents.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Snapshot {
    #[prost(message, repeated, tag = "1")]
    pub(crate) members: Vec<Member>,
    #[prost(message, repeated, tag = "2")]
    pub(crate) announcements: Vec<Announcement>,
    #[prost(message, optional, tag = "3")]
    pub(crate) load: Option<Load>,
}

/// Requests the document of an organisation.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct FetchRequest {
    #[prost(string, tag = "1")]
    pub(crate) organisation: String,
}

/// A call to the application above the mesh.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct CallRequest {
    /// The instance that is called.
    #[prost(string, tag = "1")]
    pub(crate) target: String,
    #[prost(bytes = "vec", tag = "2")]
    pub(crate) bytes: Vec<u8>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct CallResponse {
    /// Whether the call was accepted; if not, it did not start.
    #[prost(bool, tag = "1")]
    pub(crate) accepted: bool,
    /// Whether the call completed.
    #[prost(bool, tag = "2")]
    pub(crate) completed: bool,
    #[prost(bytes = "vec", tag = "3")]
    pub(crate) bytes: Vec<u8>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Request {
    #[prost(message, optional, tag = "1")]
    pub(crate) header: Option<Header>,
    #[prost(oneof = "request::Body", tags = "2, 3, 4")]
    pub(crate) body: Option<request::Body>,
}

/// Bodies of requests.
pub(crate) mod request {
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub(crate) enum Body {
        #[prost(message, tag = "2")]
        Synchronise(super::Snapshot),
        #[prost(message, tag = "3")]
        Fetch(super::FetchRequest),
        #[prost(message, tag = "4")]
        Call(super::CallRequest),
    }
}

/// The response to a request; without a body the request failed.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Response {
    #[prost(message, optional, tag = "1")]
    pub(crate) header: Option<Header>,
    #[prost(oneof = "response::Body", tags = "2, 3, 4")]
    pub(crate) body: Option<response::Body>,
}

/// Bodies of responses.
pub(crate) mod response {
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub(crate) enum Body {
        #[prost(message, tag = "2")]
        Synchronise(super::Snapshot),
        #[prost(message, tag = "3")]
        Document(super::Document),
        #[prost(message, tag = "4")]
        Call(super::CallResponse),
    }
}
