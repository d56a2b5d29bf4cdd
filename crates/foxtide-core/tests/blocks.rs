//! Tests client blocks against a reference model and with invalid input.

use foxtide_core::blocks::{
    Block,
    BlockCounts,
    BlocksError,
    ClientBlocks,
    ClientBlocksBuilder,
    Delta,
    Manifest,
    Site,
    SiteIndex,
    SiteTable, //
};
use foxtide_core::ids::SiteId;
use ipnet::IpNet;
use proptest::prelude::*;
use std::collections::{
    BTreeMap,
    HashMap, //
};
use std::net::{
    IpAddr,
    Ipv4Addr,
    Ipv6Addr, //
};

const SITES: u8 = 130;

fn sites() -> SiteTable {
    let site = |number: u8| Site {
        site: format!("site-{number}").parse().unwrap(),
        region: format!("r-{}", number % 7).parse().unwrap(),
        alternatives: vec![format!("site-{}", (number + 1) % SITES).parse().unwrap()],
    };
    SiteTable::new((0..SITES).map(site).collect()).unwrap()
}

fn index(number: u8) -> SiteIndex {
    let name: SiteId = format!("site-{number}").parse().unwrap();
    sites().index_of(&name).unwrap()
}

fn block(net: &str, site: u8) -> Block {
    let net = net.parse().unwrap();
    let site = index(site);
    Block { net, site }
}

fn site_name(table: &ClientBlocks, client: &str) -> Option<String> {
    let site = table.site_of(client.parse().unwrap());
    site.map(|site| site.site.to_string())
}

/// The reference model of a look-up.
fn linear_search(blocks: &BTreeMap<IpNet, SiteIndex>, client: IpAddr) -> Option<SiteIndex> {
    let holding = blocks.iter().filter(|(net, _)| net.contains(&client));
    let longest = holding.max_by_key(|(net, _)| net.prefix_len());
    longest.map(|(_, site)| *site)
}

/// Generates addresses from few values, so that blocks nest.
fn v4_address() -> impl Strategy<Value = Ipv4Addr> {
    let octet = prop::sample::select(vec![0u8, 1, 2, 127, 128, 255]);
    prop::array::uniform4(octet).prop_map(Ipv4Addr::from)
}

fn v6_address() -> impl Strategy<Value = Ipv6Addr> {
    let part = prop::sample::select(vec![0u16, 1, 0x2001, 0x8000, 0xffff]);
    prop::array::uniform4(part).prop_map(|[a, b, c, d]| Ipv6Addr::new(a, b, c, d, 0, 0, 0, 9))
}

fn address() -> impl Strategy<Value = IpAddr> {
    prop_oneof![
        v4_address().prop_map(IpAddr::V4),
        v6_address().prop_map(IpAddr::V6),
    ]
}

fn net() -> impl Strategy<Value = IpNet> {
    (address(), 0u8..=64).prop_map(|(address, length)| {
        let longest = if address.is_ipv4() { 32 } else { 64 };
        IpNet::new_assert(address, length.min(longest)).trunc()
    })
}

fn blocks_and_model(chosen: HashMap<IpNet, u8>) -> (Vec<Block>, BTreeMap<IpNet, SiteIndex>) {
    let sites = sites();
    let names = sites.sites().iter().map(|site| &site.site);
    let indices: Vec<_> = names.filter_map(|name| sites.index_of(name)).collect();
    let pairs = chosen
        .into_iter()
        .map(|(net, site)| (net, indices[usize::from(site)]));
    let model: BTreeMap<_, _> = pairs.collect();
    let blocks = model.iter().map(|(net, site)| Block {
        net: *net,
        site: *site,
    });
    (blocks.collect(), model)
}

fn assert_same(table: &ClientBlocks, model: &BTreeMap<IpNet, SiteIndex>, client: IpAddr) {
    let expected = linear_search(model, client).and_then(|site| table.sites().get(site));
    assert_eq!(table.site_of(client), expected, "{client}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn verify_look_ups_match_the_model(
        chosen in prop::collection::hash_map(net(), 0..SITES, 0..120),
        clients in prop::collection::vec(address(), 40),
    ) {
        let (blocks, model) = blocks_and_model(chosen);
        let table = ClientBlocks::new(1, sites(), &blocks).unwrap();
        prop_assert_eq!(table.len(), model.len());
        let starts = model.keys().map(IpNet::network);
        let ends = model.keys().map(IpNet::broadcast);
        for client in starts.chain(ends).chain(clients) {
            assert_same(&table, &model, client);
        }
    }

    #[test]
    fn verify_tables_survive_chunks_and_deltas(
        chosen in prop::collection::hash_map(net(), 0..SITES, 0..80),
        set in prop::collection::hash_map(net(), 0..SITES, 0..20),
        removed in prop::collection::hash_set(net(), 0..20),
        clients in prop::collection::vec(address(), 40),
    ) {
        let (blocks, mut model) = blocks_and_model(chosen);
        let base = ClientBlocks::new(1, sites(), &blocks).unwrap();
        let (mut manifest, values) = Manifest::of(&base);
        let (set, changed) = blocks_and_model(set);
        let removed: Vec<_> = removed.into_iter().filter(|net| !changed.contains_key(net)).collect();
        model.retain(|net, _| !removed.contains(net));
        model.extend(changed);
        let delta = Delta { base_revision: 1, revision: 2, set, removed };
        manifest.add(delta.clone()).unwrap();
        let manifest = Manifest::decode(&manifest.encode().unwrap()).unwrap();
        prop_assert!(manifest.can_advance(&base));
        prop_assert_eq!(manifest.advance(&base).unwrap().revision(), 2);
        let loaded = manifest.load(values).unwrap();
        let applied = base.apply(&delta).unwrap();
        prop_assert_eq!(loaded.revision(), 2);
        prop_assert_eq!(loaded.blocks().collect::<Vec<_>>(), applied.blocks().collect::<Vec<_>>());
        for client in clients {
            assert_same(&loaded, &model, client);
        }
    }

    /// Decoding arbitrary bytes yields an error or a table.
    #[test]
    fn verify_arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = ClientBlocksBuilder::new(1, sites(), BlockCounts::default()).add_chunk(&bytes);
        let _ = Delta::decode(&bytes);
        let _ = Manifest::decode(&bytes);
    }
}

#[test]
fn verify_longest_block_wins() {
    let blocks = [
        block("0.0.0.0/0", 0),
        block("10.0.0.0/8", 1),
        block("10.1.0.0/16", 2),
        block("10.1.2.0/24", 3),
        block("10.1.2.128/25", 4),
        block("2001:db8::/32", 5),
        block("2001:db8:0:1::/64", 6),
    ];
    let table = ClientBlocks::new(1, sites(), &blocks).unwrap();
    let expected = [
        ("10.1.2.129", Some("site-4")),
        ("10.1.2.1", Some("site-3")),
        ("10.1.3.1", Some("site-2")),
        ("10.2.0.1", Some("site-1")),
        ("11.0.0.1", Some("site-0")),
        ("::ffff:10.1.2.129", Some("site-4")),
        ("2001:db8:0:1::5", Some("site-6")),
        ("2001:db8:0:2::5", Some("site-5")),
        ("2001:db9::1", None),
    ];
    for (client, site) in expected {
        assert_eq!(site_name(&table, client).as_deref(), site, "{client}");
    }
}

#[test]
fn verify_alternatives_come_in_order() {
    let table = sites();
    let site = table.get(index(3)).unwrap();
    let names = table.alternatives(site).map(|site| site.site.to_string());
    assert_eq!(names.collect::<Vec<_>>(), ["site-4"]);
}

#[test]
fn verify_changed_bytes_are_rejected() {
    let table = ClientBlocks::new(1, sites(), &[block("10.0.0.0/8", 1)]).unwrap();
    let (manifest, values) = Manifest::of(&table);
    let mut damaged = values[0].clone();
    *damaged.last_mut().unwrap() ^= 1;
    let error = manifest.load([damaged.clone()]).unwrap_err();
    assert!(matches!(error, BlocksError::Checksum { .. }));
    let mut builder = ClientBlocksBuilder::new(1, sites(), BlockCounts::default());
    let error = builder.add_chunk(&damaged).unwrap_err();
    assert!(matches!(error, BlocksError::Checksum { .. }));
    assert!(manifest.load([]).is_err());
}

#[test]
fn verify_invalid_blocks_are_rejected() {
    let new = |blocks: &[Block]| ClientBlocks::new(1, sites(), blocks).unwrap_err();
    let twice = [block("10.0.0.0/8", 1), block("10.0.0.0/8", 2)];
    assert_eq!(new(&twice), BlocksError::Order);
    let long = new(&[block("2001:db8::/65", 1)]);
    assert!(matches!(long, BlocksError::TooLong { longest: 64, .. }));
    let few = SiteTable::new(sites().sites()[..0].to_vec()).unwrap();
    let unknown = ClientBlocks::new(1, few, &[block("10.0.0.0/8", 1)]).unwrap_err();
    assert!(matches!(unknown, BlocksError::UnknownSite { .. }));
}

#[test]
fn verify_a_delta_of_another_revision_is_rejected() {
    let table = ClientBlocks::new(5, sites(), &[]).unwrap();
    let delta = Delta {
        base_revision: 4,
        revision: 5,
        ..Delta::default()
    };
    let error = table.apply(&delta).unwrap_err();
    assert!(matches!(
        error,
        BlocksError::Revision {
            base_revision: 4,
            revision: 5
        }
    ));
}

#[test]
fn verify_a_manifest_advances_over_missed_deltas() {
    let mut table = ClientBlocks::new(1, sites(), &[block("10.0.0.0/8", 1)]).unwrap();
    let first = table.clone();
    let (mut manifest, _) = Manifest::of(&table);
    for site in 2..20u8 {
        let delta = Delta {
            base_revision: manifest.revision,
            revision: manifest.revision + 1,
            set: vec![block("10.0.0.0/8", site)],
            removed: vec![block("11.0.0.0/8", 0).net],
        };
        manifest.add(delta).unwrap();
        table = manifest.advance(&table).unwrap();
        assert_eq!(table.revision(), manifest.revision);
    }
    let advanced = manifest.advance(&first).unwrap();
    assert_eq!(site_name(&advanced, "10.1.1.1").as_deref(), Some("site-19"));
    assert!(manifest.needs_rewrite().unwrap());
    let (rewritten, _) = Manifest::of(&table);
    assert!(rewritten.can_advance(&table));
    assert!(!rewritten.can_advance(&first));
    assert!(!rewritten.needs_rewrite().unwrap());
}

#[test]
fn verify_chunks_fit_a_value() {
    let site = index(0);
    let nets = (0u32..400_000).map(|number| {
        let address = Ipv4Addr::from_bits(number << 8);
        IpNet::new_assert(address.into(), 24)
    });
    let blocks: Vec<_> = nets.map(|net| Block { net, site }).collect();
    let table = ClientBlocks::new(1, sites(), &blocks).unwrap();
    let chunks = table.chunks();
    assert!(chunks.len() > 1);
    assert!(
        chunks
            .iter()
            .all(|c| c.len() <= foxtide_core::store::VALUE_MAX_BYTES)
    );
}
