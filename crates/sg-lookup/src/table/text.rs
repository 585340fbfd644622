//! Reads a base from its bulk text: a line a block, `10.1.0.0/16 SITE`.

use sg_types::prelude::*;

use crate::{
    block::{self, Block},
    site,
};

use super::Base;

/// Why a text is not a table of blocks.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A line has no block and site.
    #[error("line {line} is not a block and a site; write it like '10.1.0.0/16 SITE'")]
    Line {
        /// The line's number, from 1.
        line: usize,
    },
    /// A block can't be read.
    #[error("line {line}: {error}")]
    Block {
        /// The line's number, from 1.
        line: usize,
        /// What is wrong with it.
        error: block::Malformed,
    },
    /// A site's name is not in the list of sites.
    #[error("line {line}: no site is called '{name}'; add the site first or correct the name")]
    Site {
        /// The line's number, from 1.
        line: usize,
        /// The name.
        name: String,
    },
}

impl Base {
    /// Reads a base from text. Empty lines and lines that start with `#` are left out.
    ///
    /// # Errors
    /// [`Error`] at the first line that can't be read.
    pub fn from_text(text: &str, sites: &IndexSet<id::Site>) -> Result<Self, Error> {
        let mut blocks = Vec::new();
        for (line, text) in (1..).zip(text.lines()) {
            let text = text.trim();
            if !text.is_empty() && !text.starts_with('#') {
                blocks.push(read(line, text, sites)?);
            }
        }
        Ok(Self::new(blocks))
    }
}

fn read(
    line: usize,
    text: &str,
    sites: &IndexSet<id::Site>,
) -> Result<(Block, site::Index), Error> {
    let (block, name) = text
        .split_once(char::is_whitespace)
        .ok_or(Error::Line { line })?;
    let block = block
        .parse()
        .map_err(|error| Error::Block { line, error })?;
    let index = sites.get_index_of(name.trim());
    let index = index.and_then(|index| u16::try_from(index).ok());
    match index {
        Some(index) => Ok((block, site::Index::new(index))),
        None => Err(Error::Site {
            line,
            name: name.trim().chars().take(64).collect(),
        }),
    }
}
