//! Parses a base from text with one block per line: `10.1.0.0/16 SITE`.

use sg_types::prelude::*;

use crate::{
    block::{self, Block},
    site,
};

use super::Base;

/// An error in the text of a table of blocks.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A line lacks a block or a site.
    #[error("line {line} is not a block and a site; write it like '10.1.0.0/16 SITE'")]
    Line {
        /// The line number, starting at 1.
        line: usize,
    },
    /// A block does not parse.
    #[error("line {line}: {error}")]
    Block {
        /// The line number, starting at 1.
        line: usize,
        /// The parse error of the block.
        error: block::ParseError,
    },
    /// A site name is not in the list of sites.
    #[error("line {line}: no site is called '{name}'; add the site first or correct the name")]
    Site {
        /// The line number, starting at 1.
        line: usize,
        /// The unknown name, truncated.
        name: String,
    },
}

impl Base {
    /// Parses a base from text. Empty lines and lines that start with `#` are skipped.
    ///
    /// # Errors
    /// Returns an [`Error`] for the first line that does not parse.
    pub fn from_text(text: &str, sites: &IndexSet<id::Site>) -> Result<Self, Error> {
        let mut blocks = Vec::new();
        for (line, text) in (1..).zip(text.lines()) {
            let text = text.trim();
            if !text.is_empty() && !text.starts_with('#') {
                blocks.push(parse_line(line, text, sites)?);
            }
        }
        Ok(Self::new(blocks))
    }
}

fn parse_line(
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
