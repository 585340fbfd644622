//! A compact, immutable longest-prefix table of keys of one width.
//!
//! Blocks lie sorted by prefix and length in one array. Each knows the nearest block around it, so
//! a search finds the last block that starts at or before an address and goes outward from there.
//! Above the array stand samples of every [`STRIDE`]th prefix, and samples of those, so that a
//! search reads few cache lines.

use crate::site::Index;

/// Keys from one sample to the next.
const STRIDE: usize = 16;
/// The most keys of the topmost samples.
const TOP: usize = 1_024;
/// The parent of a block that no other block is around.
const NONE: u32 = u32::MAX;

/// A prefix as a number, aligned to the left.
pub(crate) trait Key: Copy + Ord {
    /// Whether the first `len` bits are those of `other`.
    fn agrees(self, other: Self, len: u8) -> bool;
}

macro_rules! key {
    ($int:ty) => {
        impl Key for $int {
            fn agrees(self, other: Self, len: u8) -> bool {
                let rest = Self::BITS - u32::from(len);
                (self ^ other).checked_shr(rest).unwrap_or(0) == 0
            }
        }
    };
}

key!(u32);
key!(u64);
key!(u128);

/// A block of a level.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Entry<K> {
    pub(crate) prefix: K,
    pub(crate) len: u8,
    pub(crate) site: Index,
}

/// An entry and the place of the nearest one around it.
#[derive(Debug, Clone, Copy)]
struct Node<K> {
    prefix: K,
    parent: u32,
    site: Index,
    len: u8,
}

/// The table of one key width.
#[derive(Debug, Clone, Default)]
pub(crate) struct Level<K> {
    nodes: Box<[Node<K>]>,
    /// Samples of the nodes' prefixes, the topmost last.
    samples: Vec<Box<[K]>>,
}

impl<K: Key> Level<K> {
    /// Builds a level. Where a block stands twice, the later one counts.
    pub(crate) fn new(mut entries: Vec<Entry<K>>) -> Self {
        entries.sort_by_key(|entry| (entry.prefix, entry.len));
        entries.dedup_by(|later, first| {
            let same = later.prefix == first.prefix && later.len == first.len;
            if same {
                first.site = later.site;
            }
            same
        });
        let nodes = nodes(&entries);
        let samples = samples(&nodes);
        Self { nodes, samples }
    }

    /// The blocks around `key`, the longest prefix first.
    pub(crate) fn around(&self, key: K) -> impl Iterator<Item = Entry<K>> {
        let mut next = self.last_from(key);
        std::iter::from_fn(move || {
            while let Some(index) = next {
                let node = &self.nodes[index];
                next = (node.parent != NONE).then_some(node.parent as usize);
                if node.prefix.agrees(key, node.len) {
                    return Some(node.entry());
                }
            }
            None
        })
    }

    /// Every block, in order.
    pub(crate) fn entries(&self) -> impl Iterator<Item = Entry<K>> {
        self.nodes.iter().map(Node::entry)
    }

    /// How many blocks there are.
    pub(crate) const fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Bytes of memory.
    pub(crate) fn bytes(&self) -> usize {
        let samples = self.samples.iter().map(|keys| size_of_val(&**keys));
        size_of_val(&*self.nodes) + samples.sum::<usize>()
    }

    /// The last block whose prefix is at or before `key`.
    fn last_from(&self, key: K) -> Option<usize> {
        let mut last = None;
        for keys in self.samples.iter().rev() {
            let near = within(keys.len(), last);
            let at = near.start + keys[near].partition_point(|prefix| *prefix <= key);
            last = Some(at.checked_sub(1)?);
        }
        let near = within(self.nodes.len(), last);
        let at = near.start + self.nodes[near].partition_point(|node| node.prefix <= key);
        at.checked_sub(1)
    }
}

impl<K: Copy> Node<K> {
    const fn entry(&self) -> Entry<K> {
        Entry {
            prefix: self.prefix,
            len: self.len,
            site: self.site,
        }
    }
}

/// What the sample at `last` stands for, or everything.
fn within(len: usize, last: Option<usize>) -> std::ops::Range<usize> {
    last.map_or(0..len, |last| {
        let start = last * STRIDE;
        start..(start + STRIDE).min(len)
    })
}

/// Samples of samples, until the topmost ones are few.
fn samples<K: Key>(nodes: &[Node<K>]) -> Vec<Box<[K]>> {
    let mut samples = Vec::new();
    let mut keys: Box<[K]> = nodes
        .iter()
        .step_by(STRIDE)
        .map(|node| node.prefix)
        .collect();
    while keys.len() > TOP {
        let next = keys.iter().step_by(STRIDE).copied().collect();
        samples.push(std::mem::replace(&mut keys, next));
    }
    samples.push(keys);
    samples
}

/// Finds for each block the nearest one around it.
fn nodes<K: Key>(entries: &[Entry<K>]) -> Box<[Node<K>]> {
    let mut around: Vec<usize> = Vec::new();
    let mut nodes = Vec::with_capacity(entries.len());
    for (index, entry) in entries.iter().enumerate() {
        while let Some(outer) = around.last().map(|outer| entries[*outer]) {
            if outer.len < entry.len && outer.prefix.agrees(entry.prefix, outer.len) {
                break;
            }
            around.pop();
        }
        let parent = around.last().and_then(|outer| u32::try_from(*outer).ok());
        nodes.push(Node {
            prefix: entry.prefix,
            parent: parent.unwrap_or(NONE),
            site: entry.site,
            len: entry.len,
        });
        around.push(index);
    }
    nodes.into()
}
