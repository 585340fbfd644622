//! The tree in the form that operators write in JSON, before inheritance is resolved.

use std::{fmt, sync::Arc};

use indexmap::IndexMap;
use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{self, MapAccess, Visitor},
    ser::SerializeMap,
};

use crate::{Digest, Path};

/// Maximum nesting depth of a tree that is read.
const MAX_DEPTH: usize = 16;

/// A node of the tree, with its own settings in text form and its child nodes.
///
/// In JSON, a member that is an object is a child node, and a string, number or boolean is a setting.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Node {
    /// Settings of this node, which the nodes below inherit.
    pub settings: IndexMap<Arc<str>, Arc<str>>,
    /// Child nodes by name.
    pub children: IndexMap<Arc<str>, Node>,
}

/// The error for a text that can't be read as a tree.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The text is not valid JSON, or its values are not nodes and settings.
    #[error("the tree is not valid JSON: {0}; correct the text at that position")]
    Json(#[from] serde_json::Error),
    /// The nodes are nested too deeply.
    #[error("the tree is nested more than {MAX_DEPTH} levels deep; flatten it")]
    Depth,
}

impl Node {
    /// Parses a tree from JSON.
    ///
    /// # Errors
    /// Returns [`Error::Json`] if the text is not a tree in JSON, and [`Error::Depth`] if the tree is
    /// nested too deeply.
    pub fn from_json(text: impl AsRef<[u8]>) -> Result<Self, Error> {
        let node: Self = serde_json::from_slice(text.as_ref())?;
        if node.depth() > MAX_DEPTH {
            return Err(Error::Depth);
        }
        Ok(node)
    }

    /// Formats the tree as indented JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }

    /// Computes the digest of the tree's content, which does not depend on the order of members.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let mut sorted = self.clone();
        sorted.sort();
        Digest::of(serde_json::to_vec(&sorted).unwrap_or_default())
    }

    /// Returns the node at `path`.
    #[must_use]
    pub fn at(&self, path: &Path) -> Option<&Self> {
        path.segments()
            .try_fold(self, |node, name| node.children.get(name))
    }

    /// Returns the node at `path`. Inserts the node and its parents if they are missing.
    pub fn at_or_insert(&mut self, path: &Path) -> &mut Self {
        path.segments().fold(self, |node, name| {
            node.children.entry(name.into()).or_default()
        })
    }

    /// Returns the value of the setting at `path`, set at its own node rather than inherited.
    #[must_use]
    pub fn setting(&self, path: &Path) -> Option<&str> {
        let (parent, name) = path.split_last()?;
        self.at(&parent)?.settings.get(name).map(AsRef::as_ref)
    }

    /// Sets the setting at `path` and returns the previous value. Inserts missing nodes. The root's
    /// path has no effect, because the root is not a setting.
    pub fn set(&mut self, path: &Path, value: impl AsRef<str>) -> Option<Arc<str>> {
        let (parent, name) = path.split_last()?;
        self.at_or_insert(&parent)
            .settings
            .insert(name.into(), value.as_ref().into())
    }

    /// Removes the setting or node at `path` and returns whether there was one.
    pub fn remove(&mut self, path: &Path) -> bool {
        let Some((parent, name)) = path.split_last() else {
            return false;
        };
        if self.at(&parent).is_none() {
            return false;
        }
        let parent = self.at_or_insert(&parent);
        let had_setting = parent.settings.shift_remove(name).is_some();
        let had_child = parent.children.shift_remove(name).is_some();
        had_setting || had_child
    }

    fn depth(&self) -> usize {
        1 + self.children.values().map(Self::depth).max().unwrap_or(0)
    }

    fn sort(&mut self) {
        self.settings.sort_unstable_keys();
        self.children.sort_unstable_keys();
        self.children.values_mut().for_each(Self::sort);
    }
}

impl Serialize for Node {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(Some(self.settings.len() + self.children.len()))?;
        for (name, value) in &self.settings {
            map.serialize_entry(name, value)?;
        }
        for (name, child) in &self.children {
            map.serialize_entry(name, child)?;
        }
        map.end()
    }
}

/// A member of a node's JSON object.
enum Member {
    Setting(Arc<str>),
    Child(Node),
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object whose members are settings or nodes")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Node, A::Error> {
        let mut node = Node::default();
        while let Some(name) = map.next_key::<Arc<str>>()? {
            if node.settings.contains_key(&name) || node.children.contains_key(&name) {
                return Err(de::Error::custom(format_args!("duplicate member '{name}'")));
            }
            match map.next_value()? {
                Member::Setting(value) => {
                    node.settings.insert(name, value);
                }
                Member::Child(child) => {
                    node.children.insert(name, child);
                }
            }
        }
        Ok(node)
    }
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(NodeVisitor)
    }
}

struct MemberVisitor;

impl<'de> Visitor<'de> for MemberVisitor {
    type Value = Member;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a string, a number, a boolean or an object")
    }

    fn visit_str<E: de::Error>(self, value: &str) -> Result<Member, E> {
        Ok(Member::Setting(value.into()))
    }

    fn visit_bool<E: de::Error>(self, value: bool) -> Result<Member, E> {
        let text = if value { "yes" } else { "no" };
        Ok(Member::Setting(text.into()))
    }

    fn visit_u64<E: de::Error>(self, value: u64) -> Result<Member, E> {
        Ok(Member::Setting(value.to_string().into()))
    }

    fn visit_i64<E: de::Error>(self, value: i64) -> Result<Member, E> {
        Ok(Member::Setting(value.to_string().into()))
    }

    fn visit_f64<E: de::Error>(self, value: f64) -> Result<Member, E> {
        Ok(Member::Setting(value.to_string().into()))
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Member, A::Error> {
        NodeVisitor.visit_map(map).map(Member::Child)
    }
}

impl<'de> Deserialize<'de> for Member {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(MemberVisitor)
    }
}
