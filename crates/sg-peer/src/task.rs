//! Tasks of one instance. Each task ends when it is dropped.

pub(crate) mod call;
pub(crate) mod claims;
pub(crate) mod fetch;
pub(crate) mod follow;
pub(crate) mod list;
pub(crate) mod maintenance;
pub(crate) mod share;
