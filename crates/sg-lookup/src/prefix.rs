//! A compact, immutable longest-prefix table with keys of one width.
//!
//! The blocks are sorted by prefix and length in one array. Each block stores the index of the
//! longest prefix that covers it, its parent. A search finds the last block that starts at or
//! before an address and follows the parents from there. The prefix of every [`SAMPLE_STRIDE`]th
//! block is sampled into a smaller array, and so on for the samples, so that a search reads few
//! cache lines.

use crate::site::Index;

/// The number of keys per sample.
const SAMPLE_STRIDE: usize = 16;
/// The maximum number of keys in the topmost sample array.
const MAX_TOP_SAMPLES: usize = 1_024;
/// The parent of a block that no other block covers.
const NO_PARENT: u32 = u32::MAX;

/// A prefix as an integer, left-aligned.
pub(crate) trait Key: Copy + Ord {
    /// Returns whether the first `len` bits equal those of `other`.
    fn shares_prefix(self, other: Self, len: u8) -> bool;
}

macro_rules! key {
    ($int:ty) => {
        impl Key for $int {
            fn shares_prefix(self, other: Self, len: u8) -> bool {
                let rest = Self::BITS - u32::from(len);
                (self ^ other).checked_shr(rest).unwrap_or(0) == 0
            }
        }
    };
}

key!(u32);
key!(u64);
key!(u128);

/// A block and its site.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Entry<K> {
    pub(crate) prefix: K,
    pub(crate) len: u8,
    pub(crate) site: Index,
}

/// An entry and the index of its parent, the longest prefix that covers the entry.
#[derive(Debug, Clone, Copy)]
struct Node<K> {
    prefix: K,
    parent: u32,
    site: Index,
    len: u8,
}

/// A longest-prefix table for one key width.
#[derive(Debug, Clone, Default)]
pub(crate) struct PrefixTable<K> {
    nodes: Box<[Node<K>]>,
    /// Arrays of sampled prefixes, each sampled from the one before, the topmost last.
    samples: Vec<Box<[K]>>,
}

impl<K: Key> PrefixTable<K> {
    /// Builds a table. The last of several equal blocks wins.
    pub(crate) fn new(mut entries: Vec<Entry<K>>) -> Self {
        entries.sort_by_key(|entry| (entry.prefix, entry.len));
        entries.dedup_by(|later, first| {
            let is_same = later.prefix == first.prefix && later.len == first.len;
            if is_same {
                first.site = later.site;
            }
            is_same
        });
        let nodes = nodes(&entries);
        let samples = samples(&nodes);
        Self { nodes, samples }
    }

    /// Returns the blocks that cover `key`, the longest prefix first.
    pub(crate) fn covering(&self, key: K) -> impl Iterator<Item = Entry<K>> {
        let mut next = self.last_at_or_before(key);
        std::iter::from_fn(move || {
            while let Some(index) = next {
                let node = &self.nodes[index];
                next = (node.parent != NO_PARENT).then_some(node.parent as usize);
                if node.prefix.shares_prefix(key, node.len) {
                    return Some(node.entry());
                }
            }
            None
        })
    }

    /// Returns all blocks in order of prefix and length.
    pub(crate) fn entries(&self) -> impl Iterator<Item = Entry<K>> {
        self.nodes.iter().map(Node::entry)
    }

    /// Returns the number of blocks.
    pub(crate) const fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns the memory use in bytes.
    pub(crate) fn bytes(&self) -> usize {
        let samples = self.samples.iter().map(|keys| size_of_val(&**keys));
        size_of_val(&*self.nodes) + samples.sum::<usize>()
    }

    /// Returns the index of the last block whose prefix is at or before `key`.
    fn last_at_or_before(&self, key: K) -> Option<usize> {
        let mut last = None;
        for keys in self.samples.iter().rev() {
            let range = sample_range(keys.len(), last);
            let at = range.start + keys[range].partition_point(|prefix| *prefix <= key);
            last = Some(at.checked_sub(1)?);
        }
        let range = sample_range(self.nodes.len(), last);
        let at = range.start + self.nodes[range].partition_point(|node| node.prefix <= key);
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

/// Returns the range of keys that the sample at `last` covers, or all `len` keys without a sample.
fn sample_range(len: usize, last: Option<usize>) -> std::ops::Range<usize> {
    last.map_or(0..len, |last| {
        let start = last * SAMPLE_STRIDE;
        start..(start + SAMPLE_STRIDE).min(len)
    })
}

/// Builds the sample arrays, until the topmost one has at most [`MAX_TOP_SAMPLES`] keys.
fn samples<K: Key>(nodes: &[Node<K>]) -> Vec<Box<[K]>> {
    let mut samples = Vec::new();
    let mut keys: Box<[K]> = nodes
        .iter()
        .step_by(SAMPLE_STRIDE)
        .map(|node| node.prefix)
        .collect();
    while keys.len() > MAX_TOP_SAMPLES {
        let next = keys.iter().step_by(SAMPLE_STRIDE).copied().collect();
        samples.push(std::mem::replace(&mut keys, next));
    }
    samples.push(keys);
    samples
}

/// Builds the nodes: finds the parent of each block, the longest prefix that covers it.
fn nodes<K: Key>(entries: &[Entry<K>]) -> Box<[Node<K>]> {
    let mut open: Vec<usize> = Vec::new();
    let mut nodes = Vec::with_capacity(entries.len());
    for (index, entry) in entries.iter().enumerate() {
        while let Some(outer) = open.last().map(|outer| entries[*outer]) {
            if outer.len < entry.len && outer.prefix.shares_prefix(entry.prefix, outer.len) {
                break;
            }
            open.pop();
        }
        let parent = open.last().and_then(|outer| u32::try_from(*outer).ok());
        nodes.push(Node {
            prefix: entry.prefix,
            parent: parent.unwrap_or(NO_PARENT),
            site: entry.site,
            len: entry.len,
        });
        open.push(index);
    }
    nodes.into()
}
