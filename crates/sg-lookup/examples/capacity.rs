//! Measures the table's bytes per block and the time of a decision at three sizes, compared to a
//! prefix trie of the same blocks, and prints the residuals of a linear fit of memory to size.
//!
//! `cargo run --release -p sg-lookup --example capacity`

use std::{
    fmt::Write as _,
    hint::black_box,
    net::{IpAddr, Ipv4Addr, Ipv6Addr},
    time::Instant,
};

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use sg_lookup::{
    Block, Member, Query, Table, decide,
    member::Candidates,
    site::Index,
    table::{Base, Change},
};
use sg_tree::{Node, View, compile::compile};
use sg_types::prelude::*;

const SIZES: [usize; 3] = [47_000, 470_000, 4_700_000];
const SITES: u16 = 1_600;
const LOOKUPS: usize = 1_000_000;
const ENTRIES: usize = 5_600;
const DOMAINS: usize = 77;
const REGIONS: usize = 21;
const SEED: u64 = 1;
const V4_LENS: [u8; 10] = [24, 24, 24, 24, 24, 23, 22, 20, 19, 16];
const V6_LENS: [u8; 10] = [48, 48, 48, 48, 56, 56, 40, 32, 44, 64];

fn random_v4(rng: &mut SmallRng) -> Ipv4Addr {
    rng.random_range(0x0100_0000..0xe000_0000_u32).into()
}

fn random_v6(rng: &mut SmallRng) -> Ipv6Addr {
    let upper = 0x2000_0000_0000_0000 | rng.random::<u64>() >> 4;
    (u128::from(upper) << 64 | u128::from(rng.random::<u64>())).into()
}

/// Returns distinct random blocks, 70% of them IPv4.
fn blocks(count: usize, rng: &mut SmallRng) -> Vec<(Block, Index)> {
    let mut blocks: IndexMap<Block, Index> = IndexMap::with_capacity(count);
    while blocks.len() < count {
        let is_v4 = blocks.len() * 10 < count * 7;
        let nth = rng.random_range(0..10);
        let net: IpNet = if is_v4 {
            Ipv4Net::new_assert(random_v4(rng), V4_LENS[nth]).into()
        } else {
            Ipv6Net::new_assert(random_v6(rng), V6_LENS[nth]).into()
        };
        blocks.insert(Block::new(net), Index::new(rng.random_range(0..SITES)));
    }
    blocks.into_iter().collect()
}

fn addresses(rng: &mut SmallRng) -> Vec<IpAddr> {
    let query = |n| {
        if n % 10 < 7 {
            random_v4(rng).into()
        } else {
            random_v6(rng).into()
        }
    };
    (0..LOOKUPS).map(query).collect()
}

/// Returns the mean time of a call in nanoseconds.
fn mean_nanos<T>(count: usize, mut call: impl FnMut(usize) -> T) -> f64 {
    let start = Instant::now();
    for index in 0..count {
        black_box(call(index));
    }
    start.elapsed().as_nanos() as f64 / count as f64
}

#[derive(Debug, Default)]
struct Trie {
    v4: PrefixMap<Ipv4Net, Index>,
    v6: PrefixMap<Ipv6Net, Index>,
}

impl Trie {
    fn new(blocks: &[(Block, Index)]) -> Self {
        let mut trie = Self::default();
        for (block, site) in blocks {
            match block.net() {
                IpNet::V4(net) => trie.v4.insert(net, *site),
                IpNet::V6(net) => trie.v6.insert(net, *site),
            };
        }
        trie
    }

    fn find(&self, address: IpAddr) -> Option<Index> {
        match address {
            IpAddr::V4(address) => self.v4.get_lpm(&address.into()).map(|(_, site)| *site),
            IpAddr::V6(address) => self.v6.get_lpm(&address.into()).map(|(_, site)| *site),
        }
    }

    fn bytes(&self) -> usize {
        self.v4.mem_size() + self.v6.mem_size()
    }
}

fn measure_table(size: usize) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let blocks = blocks(size, &mut rng);
    let addresses = addresses(&mut rng);
    let start = Instant::now();
    let table = Table::new(Base::new(blocks.iter().copied()));
    let build = start.elapsed();
    let found = mean_nanos(LOOKUPS, |index| table.find(addresses[index]));
    let change = mean_nanos(1_000, |index| {
        let (block, _) = blocks[index];
        table.apply(&[(block, Change::Set(Index::new(1)))]);
    });
    let changed = mean_nanos(LOOKUPS, |index| table.find(addresses[index]));
    let start = Instant::now();
    table.compact();
    let compact = start.elapsed();
    let bytes = table.snapshot().bytes();
    let trie = Trie::new(&blocks);
    let in_trie = mean_nanos(LOOKUPS, |index| trie.find(addresses[index]));
    println!(
        "{size:>9} blocks: table {:>6.1} MB, {found:>4.0} ns a find ({changed:.0} ns with 1000 \
         changes), {change:.0} ns a change, built in {build:.2?}, compacted in {compact:.2?}; \
         prefix trie {:>6.1} MB, {in_trie:.0} ns",
        bytes as f64 / 1e6,
        trie.bytes() as f64 / 1e6,
    );
    (size as f64, bytes as f64)
}

/// Fits a line to the points by least squares. Returns the slope, the intercept and the residuals.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64, Vec<f64>) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let numerator: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let denominator: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = numerator / denominator;
    let intercept = mean_y - slope * mean_x;
    let residuals = points.iter().map(|(x, y)| y - (intercept + slope * x));
    (slope, intercept, residuals.collect())
}

fn fleet(entries: usize) -> (View, Vec<Member>) {
    let mut regions = String::new();
    for region in 0..REGIONS {
        let domains = (0..DOMAINS).filter(|domain| domain % REGIONS == region);
        let names: Vec<_> = domains
            .map(|domain| format!(r#""d{domain}":{{"blocks":"10.{domain}.0.0/16"}}"#))
            .collect();
        let comma = if region == 0 { "" } else { "," };
        let domains = names.join(",");
        write!(regions, r#"{comma}"r{region}":{{"domains":{{{domains}}}}}"#).expect("writes");
    }
    let node = Node::from_json(format!(r#"{{"regions":{{{regions}}}}}"#)).expect("reads");
    let view = compile(&node, Revision::new(1)).expect("compiles").view;
    let member = |index: usize| {
        let domain = index % DOMAINS;
        Member {
            instance: id::Instance::new(format!("e{index}")).expect("a name"),
            address: ([127, 0, 0, 1], 9_000).into(),
            region: id::Region::new(format!("r{}", domain % REGIONS)).expect("a name"),
            domain: id::Domain::new(format!("d{domain}")).expect("a name"),
            is_stopping: false,
            headroom: Percent::from_ppm(500_000),
        }
    };
    let members = (0..entries).map(member).collect();
    (view, members)
}

fn measure_decisions(entries: usize) {
    let (view, members) = fleet(entries);
    let service = id::Service::new("desk").expect("a name");
    let table = Table::from_view(&view);
    let start = Instant::now();
    let candidates = Candidates::new(&members, &view);
    let prepared = start.elapsed();
    let answer = mean_nanos(20_000, |index| {
        let address = Ipv4Addr::new(10, (index % DOMAINS) as u8, (index >> 8) as u8, 9);
        let query = Query {
            address: address.into(),
            service: &service,
            account: None,
        };
        decide(&view, &table, &candidates, query)
    });
    println!(
        "{entries:>9} entries: {answer:.0} ns a whole answer, list prepared in {prepared:.2?}"
    );
}

fn main() {
    println!("seed {SEED}, {SITES} sites, 70% IPv4");
    let points: Vec<_> = SIZES.into_iter().map(measure_table).collect();
    let (slope, intercept, residuals) = fit_line(&points);
    println!(
        "line: {slope:.3} bytes a block and {intercept:.0} bytes; residuals {residuals:.0?} bytes"
    );
    for entries in [7, 560, ENTRIES] {
        measure_decisions(entries);
    }
}
