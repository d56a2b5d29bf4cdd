//! The IPv4 and IPv6 address families, reduced to the bits that blocks use.

use super::{
    BlocksError,
    BlocksResult, //
};
use ipnet::{
    IpNet,
    Ipv4Net,
    Ipv6Net, //
};
use std::fmt::Debug;
use std::net::{
    IpAddr,
    Ipv4Addr,
    Ipv6Addr, //
};

/// An unsigned integer that holds half of an address.
pub(super) trait Half: Copy + Debug + Ord + Into<u64> + TryFrom<u64> {}

impl Half for u16 {}
impl Half for u32 {}

pub(super) trait Family {
    /// The maximum prefix length of a block.
    const BITS: u8;

    /// The integer type of half of an address.
    type Half: Half;

    /// Converts a prefix to a network.
    fn to_net(prefix: Prefix) -> IpNet;
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct V4;

/// IPv6, of which blocks use the first 64 bits, the subnet prefix (RFC 4291, section 2.5.4).
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct V6;

impl Family for V4 {
    const BITS: u8 = 32;
    type Half = u16;

    fn to_net(prefix: Prefix) -> IpNet {
        let bits = u32::try_from(prefix.start).unwrap_or(u32::MAX);
        let address = Ipv4Addr::from_bits(bits);
        Ipv4Net::new_assert(address, prefix.length).into()
    }
}

impl Family for V6 {
    const BITS: u8 = 64;
    type Half = u32;

    fn to_net(prefix: Prefix) -> IpNet {
        let address = Ipv6Addr::from_bits(u128::from(prefix.start) << 64);
        Ipv6Net::new_assert(address, prefix.length).into()
    }
}

/// A block: its first address, in the family's bits, and its prefix length. In
/// this order a block precedes the blocks that it contains.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Prefix {
    pub(super) start: u64,
    pub(super) length: u8,
}

/// An address of either family, reduced to the family's bits.
#[derive(Clone, Copy, Debug)]
pub(super) enum Address {
    V4(u64),
    V6(u64),
}

impl From<IpAddr> for Address {
    /// Treats IPv4-mapped IPv6 addresses (RFC 4291, section 2.5.5.2) as IPv4.
    fn from(address: IpAddr) -> Self {
        match address.to_canonical() {
            IpAddr::V4(address) => Self::V4(address.to_bits().into()),
            IpAddr::V6(address) => Self::V6(first_half(address)),
        }
    }
}

/// A prefix of either family.
#[derive(Clone, Copy, Debug)]
pub(super) enum FamilyPrefix {
    V4(Prefix),
    V6(Prefix),
}

impl TryFrom<IpNet> for FamilyPrefix {
    type Error = BlocksError;

    fn try_from(block: IpNet) -> BlocksResult<Self> {
        let length = block.prefix_len();
        match block.trunc() {
            IpNet::V4(net) => Ok(Self::V4(Prefix {
                start: net.addr().to_bits().into(),
                length,
            })),
            IpNet::V6(_) if length > V6::BITS => Err(BlocksError::TooLong {
                block,
                longest: V6::BITS,
            }),
            IpNet::V6(net) => Ok(Self::V6(Prefix {
                start: first_half(net.addr()),
                length,
            })),
        }
    }
}

fn first_half(address: Ipv6Addr) -> u64 {
    let [a, b, c, d, e, f, g, h, ..] = address.octets();
    u64::from_be_bytes([a, b, c, d, e, f, g, h])
}

/// Clears all but the first `length` bits of a `bits`-bit number.
pub(super) fn truncate(value: u64, length: u8, bits: u8) -> u64 {
    let shift = u32::from(bits - length);
    let leading = value.checked_shr(shift).unwrap_or(0);
    leading.checked_shl(shift).unwrap_or(0)
}
