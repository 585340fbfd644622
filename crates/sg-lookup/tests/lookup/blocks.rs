//! Tests that the table agrees with a linear search of all blocks.

use std::net::IpAddr;

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use sg_lookup::{
    Block, Table,
    site::Index,
    table::{Base, Change, Error, Match},
};
use sg_types::prelude::*;

type Blocks = IndexMap<Block, Index>;

/// Returns a block or address made from few random bits, so that blocks often nest.
fn net(bits: u16, len: u8, is_v4: bool) -> IpNet {
    if is_v4 {
        let address = (u32::from(bits) << 16 | u32::from(bits)).into();
        return Ipv4Net::new_assert(address, len % 33).into();
    }
    let address = (u128::from(bits) << 112 | u128::from(bits) << 56 | u128::from(bits)).into();
    Ipv6Net::new_assert(address, len % 129).into()
}

fn block((bits, len, is_v4): (u16, u8, bool)) -> Block {
    Block::new(net(bits, len, is_v4))
}

/// Returns the length and site of the longest prefix that covers `address`, by linear search.
fn longest_match(blocks: &Blocks, address: IpAddr) -> Option<(u8, Index)> {
    let address = sg_lookup::block::canonical(address);
    let covering = blocks
        .iter()
        .filter(|(block, _)| block.net().contains(&address));
    let found = covering.map(|(block, site)| (block.net().prefix_len(), *site));
    found.max_by_key(|(len, _)| *len)
}

fn agrees(
    table: impl Fn(IpAddr) -> Option<Match>,
    blocks: &Blocks,
    lookups: Vec<(u16, u8, bool)>,
) -> bool {
    let ends = blocks.keys().map(|block| block.net().broadcast());
    let looked_up = lookups
        .into_iter()
        .map(|(bits, _, is_v4)| net(bits, 128, is_v4).addr());
    let mut all = ends.chain(looked_up);
    all.all(|address| {
        let found = table(address).map(|found| (found.len, found.site));
        found == longest_match(blocks, address)
    })
}

fn numbered_block((index, key): (usize, (u16, u8, bool))) -> (Block, Index) {
    (block(key), Index::new(index as u16))
}

#[test]
fn lookups_match_the_longest_prefix() {
    fn property(blocks: Vec<(u16, u8, bool)>, lookups: Vec<(u16, u8, bool)>) -> bool {
        let blocks: Blocks = blocks.into_iter().enumerate().map(numbered_block).collect();
        let table = Table::new(Base::new(blocks.clone()));
        agrees(|address| table.find(address), &blocks, lookups)
    }
    crate::property::check(property as fn(Vec<(u16, u8, bool)>, Vec<(u16, u8, bool)>) -> bool);
}

#[test]
fn changes_apply_immediately_and_survive_compaction() {
    fn property(
        before: Vec<(u16, u8, bool)>,
        changes: Vec<((u16, u8, bool), bool)>,
        lookups: Vec<(u16, u8, bool)>,
    ) -> bool {
        let mut blocks: Blocks = before
            .iter()
            .copied()
            .enumerate()
            .map(numbered_block)
            .collect();
        let table = Table::new(Base::new(blocks.clone()));
        for (index, (key, is_set)) in changes.into_iter().enumerate() {
            let site = Index::new(10_000 + index as u16);
            // About half of the changes are to blocks of the base, so that removals take effect.
            let existing = before.get(index).copied().filter(|_| index % 2 == 0);
            let block = block(existing.unwrap_or(key));
            let change = if is_set {
                Change::Set(site)
            } else {
                Change::Remove
            };
            match change {
                Change::Set(site) => blocks.insert(block, site),
                Change::Remove => blocks.swap_remove(&block),
            };
            table.apply(&[(block, change)]);
        }
        let lookups: Vec<_> = lookups.into_iter().chain(before).collect();
        let before_compaction = agrees(|address| table.find(address), &blocks, lookups.clone());
        table.compact();
        let length = table.snapshot().len();
        let after_compaction = agrees(|address| table.find(address), &blocks, lookups);
        before_compaction && after_compaction && length.overlay == 0 && length.base == blocks.len()
    }
    crate::property::check(
        property
            as fn(Vec<(u16, u8, bool)>, Vec<((u16, u8, bool), bool)>, Vec<(u16, u8, bool)>) -> bool,
    );
}

#[test]
fn the_check_detects_an_ignored_removal_and_a_match_of_a_shorter_prefix() {
    let outer = block((0x0a00, 8, true));
    let inner = block((0x0a00, 16, true));
    let blocks: Blocks = [(outer, Index::new(1)), (inner, Index::new(2))].into();
    let table = Table::new(Base::new(blocks.clone()));
    let without: Blocks = [(outer, Index::new(1))].into();
    let find = |address| table.find(address);
    let inside = [(0x0a00, 0, true)];
    assert!(agrees(find, &blocks, inside.to_vec()));
    assert!(
        !agrees(find, &without, inside.to_vec()),
        "a removal without effect is not detected"
    );
    let any = |_| {
        Some(Match {
            len: 8,
            site: Index::new(1),
        })
    };
    assert!(
        !agrees(any, &blocks, inside.to_vec()),
        "a match of a shorter prefix is not detected"
    );
}

#[test]
fn changes_during_a_compaction_are_kept() {
    let first = block((1, 16, true));
    let second = block((2, 16, true));
    let table = Table::new(Base::new([(first, Index::new(1))]));
    table.apply(&[(second, Change::Set(Index::new(2)))]);
    std::thread::scope(|scope| {
        scope.spawn(|| table.compact());
        scope.spawn(|| table.apply(&[(first, Change::Set(Index::new(3)))]));
    });
    let site = |block: Block| table.find(block.net().addr()).map(|found| found.site);
    assert_eq!(site(first), Some(Index::new(3)));
    assert_eq!(site(second), Some(Index::new(2)));
}

#[test]
fn an_ipv4_mapped_address_is_looked_up_as_ipv4() {
    let table = Table::new(Base::new([(block((0x0a00, 8, true)), Index::new(7))]));
    let mapped: IpAddr = "::ffff:10.1.2.3".parse().expect("an address");
    assert_eq!(
        table.find(mapped).map(|found| found.site),
        Some(Index::new(7))
    );
}

#[test]
fn parse_errors_name_the_line_and_the_remedy() {
    let site = |name| id::Site::new(name).expect("a name");
    let sites: IndexSet<id::Site> = [site("gent"), site("namur")].into();
    let good = "# blocks\n10.0.0.0/8 gent\n\n10.1.0.0/16  namur\n";
    let table = Table::new(Base::from_text(good, &sites).expect("reads"));
    let address = "10.1.9.9".parse().expect("an address");
    assert_eq!(table.find(address).map(|found| found.site.get()), Some(1));
    for (text, remedy) in [
        ("10.0.0.0/8", "write it like"),
        ("\n10.0.0.0/40 gent", "line 2"),
        ("10.0.0.0/8 aalst", "add the site first"),
    ] {
        let error: Error = Base::from_text(text, &sites).expect_err(text);
        assert!(error.to_string().contains(remedy), "{error}");
    }
}

/// Returns the bytes per block of a table whose blocks lie far apart, so that a structure cannot
/// share memory between them.
fn bytes_per_block(bytes_of: impl Fn(&Blocks) -> usize) -> f64 {
    let scatter = |n: u32| n.wrapping_mul(2_654_435_761);
    let nets = (0..47_000).map(|n| match n % 10 < 7 {
        true => Ipv4Net::new_assert((scatter(n) & 0xffff_ff00).into(), 24).into(),
        false => Ipv6Net::new_assert((u128::from(scatter(n)) << 92).into(), 48).into(),
    });
    let blocks: Blocks = nets
        .map(|net: IpNet| (Block::new(net), Index::new(1)))
        .collect();
    bytes_of(&blocks) as f64 / blocks.len() as f64
}

#[test]
fn a_block_takes_at_most_its_share_of_100_megabytes() {
    let limit = 100e6 / 4.7e6;
    let table = bytes_per_block(|blocks| Table::new(Base::new(blocks.clone())).snapshot().bytes());
    assert!(table < limit, "{table} bytes per block");
    let trie = bytes_per_block(|blocks| {
        let mut v4 = prefix_trie::PrefixMap::<Ipv4Net, Index>::new();
        let mut v6 = prefix_trie::PrefixMap::<Ipv6Net, Index>::new();
        for (block, site) in blocks {
            match block.net() {
                IpNet::V4(net) => v4.insert(net, *site),
                IpNet::V6(net) => v6.insert(net, *site),
            };
        }
        v4.mem_size() + v6.mem_size()
    });
    assert!(
        trie > limit,
        "a prefix trie exceeds the limit, so the check is not vacuous: {trie} bytes per block"
    );
}
