//! `sg-entry`: one entry instance.
fn main() {}
