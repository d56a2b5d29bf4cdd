//! Conversion between the wire format and the types of `foxtide_core`.

use super::invalid_message::InvalidMessage;
use super::messages as wire;
use super::messages::datagram::Body;
use foxtide_core::dissemination;
use foxtide_core::idempotency::ProcessNumber;
use foxtide_core::membership as core;
use foxtide_core::membership::{
    Message,
    Packet,
    ProbeId,
    Rumour, //
};
use foxtide_core::units::Revision;
use std::net::{
    IpAddr,
    Ipv4Addr,
    Ipv6Addr,
    SocketAddr, //
};

pub(crate) fn to_datagram(header: wire::Header, packet: Packet) -> wire::Datagram {
    let mut datagram = wire::Datagram {
        header: Some(header),
        body: Some(body(packet.message)),
        ..wire::Datagram::default()
    };
    for rumour in packet.rumours {
        match rumour {
            Rumour::Member(member) => datagram.members.push((&member).into()),
            Rumour::Suspicion(suspicion) => datagram.suspicions.push(wire::Suspicion {
                member: Some((&suspicion.member).into()),
                by: suspicion.by.into(),
            }),
            Rumour::Configuration(announcement) => {
                datagram.announcements.push((&announcement).into());
            }
        }
    }
    datagram
}

fn body(message: Message) -> Body {
    match message {
        Message::Ping { probe, target } => Body::Ping(wire::Ping {
            probe: probe.0,
            target: target.into(),
        }),
        Message::Ack { probe } => Body::Ack(probe.0),
        Message::PingRequest {
            probe,
            target,
            address,
        } => Body::PingRequest(wire::PingRequest {
            probe: probe.0,
            target: target.into(),
            address: Some(address.into()),
        }),
        Message::Rumours => Body::Rumours(wire::Empty {}),
        Message::Digest(digest) => Body::Digest(wire::Digest {
            members_hash: digest.members_hash,
            configuration_hash: digest.configuration_hash,
        }),
    }
}

/// Decodes a packet that holds no load.
///
/// The rumours are read also if the body is of an unknown kind.
pub(crate) fn read_datagram(datagram: wire::Datagram) -> Result<Packet, InvalidMessage> {
    let message = match datagram.body {
        Some(body) => read_body(body)?,
        None => Message::Rumours,
    };
    let mut rumours = Vec::new();
    for member in &datagram.members {
        rumours.push(Rumour::Member(read_member(member)?));
    }
    for suspicion in datagram.suspicions {
        let member = suspicion.member.ok_or(InvalidMessage)?;
        rumours.push(Rumour::Suspicion(core::Suspicion {
            member: read_member(&member)?,
            by: suspicion.by.parse()?,
        }));
    }
    for announcement in &datagram.announcements {
        rumours.push(Rumour::Configuration(announcement.try_into()?));
    }
    Ok(Packet { message, rumours })
}

fn read_body(body: Body) -> Result<Message, InvalidMessage> {
    Ok(match body {
        Body::Ping(ping) => Message::Ping {
            probe: ProbeId(ping.probe),
            target: ping.target.parse()?,
        },
        Body::Ack(probe) => Message::Ack {
            probe: ProbeId(probe),
        },
        Body::PingRequest(request) => Message::PingRequest {
            probe: ProbeId(request.probe),
            target: request.target.parse()?,
            address: read_address(request.address.as_ref())?,
        },
        Body::Rumours(_) | Body::Load(_) => Message::Rumours,
        Body::Digest(digest) => Message::Digest(core::Digest {
            members_hash: digest.members_hash,
            configuration_hash: digest.configuration_hash,
        }),
    })
}

impl From<SocketAddr> for wire::Address {
    fn from(address: SocketAddr) -> Self {
        let ip = match address.ip() {
            IpAddr::V4(ip) => ip.octets().to_vec(),
            IpAddr::V6(ip) => ip.octets().to_vec(),
        };
        let port = u32::from(address.port());
        Self { ip, port }
    }
}

fn read_address(address: Option<&wire::Address>) -> Result<SocketAddr, InvalidMessage> {
    let address = address.ok_or(InvalidMessage)?;
    let port = u16::try_from(address.port).map_err(|_| InvalidMessage)?;
    let ip = if let Ok(octets) = <[u8; 4]>::try_from(address.ip.as_slice()) {
        IpAddr::V4(Ipv4Addr::from(octets))
    } else {
        let octets = <[u8; 16]>::try_from(address.ip.as_slice());
        IpAddr::V6(Ipv6Addr::from(octets.map_err(|_| InvalidMessage)?))
    };
    Ok(SocketAddr::new(ip, port))
}

impl From<&core::Member> for wire::Member {
    fn from(member: &core::Member) -> Self {
        let state = match member.state {
            core::MemberState::Joining => wire::State::Joining,
            core::MemberState::Alive => wire::State::Alive,
            core::MemberState::Suspect => wire::State::Suspect,
            core::MemberState::Leaving => wire::State::Leaving,
            core::MemberState::Dead => wire::State::Dead,
        };
        Self {
            instance: member.instance.to_string(),
            region: member.region.to_string(),
            availability_zone: member.availability_zone.to_string(),
            peer_address: Some(member.peer_address.into()),
            caller_address: Some(member.caller_address.into()),
            incarnation: member.incarnation.get(),
            state: state.into(),
            process: member.process.get(),
        }
    }
}

pub(crate) fn read_member(member: &wire::Member) -> Result<core::Member, InvalidMessage> {
    let state = match wire::State::try_from(member.state).map_err(|_| InvalidMessage)? {
        wire::State::Joining => core::MemberState::Joining,
        wire::State::Alive => core::MemberState::Alive,
        wire::State::Suspect => core::MemberState::Suspect,
        wire::State::Leaving => core::MemberState::Leaving,
        wire::State::Dead => core::MemberState::Dead,
    };
    Ok(core::Member {
        instance: member.instance.parse()?,
        region: member.region.parse()?,
        availability_zone: member.availability_zone.parse()?,
        peer_address: read_address(member.peer_address.as_ref())?,
        caller_address: read_address(member.caller_address.as_ref())?,
        process: ProcessNumber::new(member.process),
        incarnation: core::Incarnation::new(member.incarnation),
        state,
    })
}

impl From<&core::Announcement> for wire::Announcement {
    fn from(announcement: &core::Announcement) -> Self {
        Self {
            organisation: announcement.organisation.to_string(),
            revision: announcement.revision.get(),
        }
    }
}

impl TryFrom<&wire::Announcement> for core::Announcement {
    type Error = InvalidMessage;

    fn try_from(announcement: &wire::Announcement) -> Result<Self, InvalidMessage> {
        Ok(Self {
            organisation: announcement.organisation.parse()?,
            revision: Revision::new(announcement.revision),
        })
    }
}

impl From<&dissemination::Document> for wire::Document {
    fn from(document: &dissemination::Document) -> Self {
        Self {
            organisation: document.organisation.to_string(),
            revision: document.revision.get(),
            bytes: document.bytes.to_vec(),
        }
    }
}

pub(crate) fn read_document(
    document: wire::Document,
) -> Result<dissemination::Document, InvalidMessage> {
    Ok(dissemination::Document {
        organisation: document.organisation.parse()?,
        revision: Revision::new(document.revision),
        bytes: document.bytes.into(),
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use foxtide_core::ids::NAME_MAX_BYTES;
    use foxtide_core::membership::{
        DATAGRAM_MAX_BYTES,
        Incarnation,
        Member,
        MemberState,
        Membership,
        MembershipOptions,
        Output, //
    };
    use foxtide_core::time::MonotonicTime;
    use prost::Message as _;

    /// Returns a member of the largest encoded size.
    fn member(number: usize, incarnation: u64) -> Member {
        let name = format!("{number:0width$}", width = NAME_MAX_BYTES);
        let port = 50_000 + u16::try_from(number).unwrap();
        let address = SocketAddr::from((Ipv6Addr::LOCALHOST, port));
        Member {
            instance: name.parse().unwrap(),
            region: "r".repeat(NAME_MAX_BYTES).parse().unwrap(),
            availability_zone: "z".repeat(NAME_MAX_BYTES).parse().unwrap(),
            peer_address: address,
            caller_address: address,
            process: ProcessNumber::new(u64::MAX),
            incarnation: Incarnation::new(u64::MAX - 9 + incarnation),
            state: MemberState::Alive,
        }
    }

    fn header() -> wire::Header {
        wire::Header {
            version: u32::MAX,
            minimum_version: u32::MAX,
            cluster: u64::MAX,
            sender: "s".repeat(NAME_MAX_BYTES),
            epoch_us: u64::MAX,
            sequence: u64::MAX,
            clock_us: u64::MAX,
            clock_counter: u32::MAX,
        }
    }

    #[test]
    fn verify_every_datagram_fits_one_packet() {
        let options = MembershipOptions::default();
        let mut now = MonotonicTime::from_ms(1_000);
        let mut membership = Membership::new(member(0, 0), options, 1, now);
        let peers: Vec<_> = (1..20).map(|number| member(number, 0)).collect();
        membership.merge(peers, now);
        // Updates of all members while none responds: pings, ping requests and suspicions.
        let updates: Vec<_> = (1..20).map(|number| member(number, 1)).collect();
        membership.merge(updates, now);
        let mut sent = 0;
        for _ in 0..200 {
            now = now + std::time::Duration::from_millis(50);
            for output in membership.tick(now) {
                if let Output::Send { packet, .. } = output {
                    let size_bytes = to_datagram(header(), packet).encoded_len();
                    assert!(size_bytes <= DATAGRAM_MAX_BYTES, "{size_bytes}");
                    sent += 1;
                }
            }
        }
        assert!(sent > 100, "{sent}");
    }
}
