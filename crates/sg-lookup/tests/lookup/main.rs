//! Shows that look-ups find the longest block, also after changes, and name near entries that stay.

mod answers;
mod blocks;
mod property;
