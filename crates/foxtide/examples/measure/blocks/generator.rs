//! Generates random client blocks and clients at target size, with a fixed seed.

use foxtide_core::blocks::{
    Block,
    Site,
    SiteIndex,
    SiteTable, //
};
use ipnet::{
    IpNet,
    Ipv4Net,
    Ipv6Net, //
};
use rand::rngs::StdRng;
use rand::{
    RngExt,
    SeedableRng, //
};
use std::collections::HashMap;
use std::net::{
    IpAddr,
    Ipv4Addr,
    Ipv6Addr, //
};

/// The number of IPv4 blocks at target size.
pub(crate) const V4_BLOCKS: usize = 640_000;
/// The number of IPv6 blocks at target size.
pub(crate) const V6_BLOCKS: usize = 330_000;
const SITES: usize = 130;
const REGIONS: usize = 7;
const SEED: u64 = 970_000;

/// Generates blocks and clients.
pub(crate) struct BlockGenerator {
    random: StdRng,
    indices: Vec<SiteIndex>,
    pub(crate) sites: SiteTable,
}

impl BlockGenerator {
    /// Returns a generator with the fixed seed.
    pub(crate) fn new() -> Self {
        let site = |number: usize| Site {
            site: format!("site-{number}").parse().expect("a name"),
            region: format!("r-{}", number % REGIONS).parse().expect("a name"),
            alternatives: Vec::new(),
        };
        let sites = SiteTable::new((0..SITES).map(site).collect()).expect("good sites");
        let names = sites.sites().iter().map(|site| &site.site);
        let indices = names.filter_map(|name| sites.index_of(name)).collect();
        Self {
            random: StdRng::seed_from_u64(SEED),
            indices,
            sites,
        }
    }

    /// Generates allocations, and more specific blocks, most of which lie within
    /// an allocation.
    pub(crate) fn blocks(&mut self) -> Vec<Block> {
        let mut blocks = HashMap::new();
        let mut v4_allocations = Vec::new();
        while blocks.len() < V4_BLOCKS {
            let net = self.v4_net(&mut v4_allocations);
            blocks.insert(net, self.site());
        }
        let mut v6_allocations = Vec::new();
        while blocks.len() < V4_BLOCKS + V6_BLOCKS {
            let net = self.v6_net(&mut v6_allocations);
            blocks.insert(net, self.site());
        }
        let block = |(net, site)| Block { net, site };
        blocks.into_iter().map(block).collect()
    }

    /// Generates client addresses, most of which lie within one of the blocks.
    pub(crate) fn clients(&mut self, blocks: &[Block], count: usize) -> Vec<IpAddr> {
        (0..count).map(|_| self.client(blocks)).collect()
    }

    /// Returns a random site.
    pub(crate) fn site(&mut self) -> SiteIndex {
        self.indices[self.random.random_range(0..SITES)]
    }

    fn v4_net(&mut self, allocations: &mut Vec<u32>) -> IpNet {
        let nested = !allocations.is_empty() && self.random.random_bool(0.6);
        let (address, length) = if nested {
            let index = self.random.random_range(0..allocations.len());
            let offset: u32 = self.random.random_range(0..1 << 14);
            (
                allocations[index] | offset,
                self.random.random_range(21..=24),
            )
        } else {
            let address = self.random.random_range(0x0100_0000..0xe000_0000);
            (address, self.v4_length())
        };
        if length <= 18 {
            allocations.push(address & (u32::MAX << 14));
        }
        let net = Ipv4Net::new_assert(Ipv4Addr::from_bits(address), length);
        IpNet::V4(net.trunc())
    }

    fn v4_length(&mut self) -> u8 {
        match self.random.random_range(0..100) {
            0..2 => self.random.random_range(8..=15),
            2..15 => self.random.random_range(16..=18),
            15..30 => self.random.random_range(19..=21),
            30..50 => self.random.random_range(22..=23),
            50..95 => 24,
            _ => self.random.random_range(25..=32),
        }
    }

    fn v6_net(&mut self, allocations: &mut Vec<u128>) -> IpNet {
        let nested = !allocations.is_empty() && self.random.random_bool(0.8);
        let (address, length) = if nested {
            let index = self.random.random_range(0..allocations.len());
            let offset = u128::from(self.random.random_range(0..u32::MAX)) << 64;
            (allocations[index] | offset, self.v6_length())
        } else {
            let first = u128::from(self.random.random_range(0x2400_0000u32..0x2c00_0000));
            (first << 96, self.random.random_range(28..=36))
        };
        if length <= 36 {
            allocations.push(address >> 96 << 96);
        }
        let net = Ipv6Net::new_assert(Ipv6Addr::from_bits(address), length);
        IpNet::V6(net.trunc())
    }

    fn v6_length(&mut self) -> u8 {
        match self.random.random_range(0..10) {
            0..6 => 48,
            6..8 => self.random.random_range(40..=47),
            8 => 56,
            _ => 64,
        }
    }

    fn client(&mut self, blocks: &[Block]) -> IpAddr {
        let random_bits: u128 = self.random.random();
        let net = blocks[self.random.random_range(0..blocks.len())].net;
        if self.random.random_bool(0.1) {
            return IpAddr::V4(Ipv4Addr::from_bits(random_bits as u32));
        }
        match net {
            IpNet::V4(net) => {
                let host = random_bits as u32 & net.hostmask().to_bits();
                IpAddr::V4(Ipv4Addr::from_bits(net.addr().to_bits() | host))
            }
            IpNet::V6(net) => {
                let host = random_bits & net.hostmask().to_bits();
                IpAddr::V6(Ipv6Addr::from_bits(net.addr().to_bits() | host))
            }
        }
    }
}
