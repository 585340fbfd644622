//! Communication between instances, and each instance's local copy of the store.
//!
//! - [`mirror`] holds the last known value of each followed key. Changes arrive from the store or from
//!   other instances in any order; the higher version wins.
//! - [`retention`] is what a mirror keeps of the time before the store was restored from a copy.
//! - [`follower`] keeps a mirror up to date from the store.
//! - [`frame`] defines the datagrams between instances; [`gossip`] sends and receives them.
//! - [`digest`] packs the beacons of a failure domain; [`duty`] decides which instances send them, and
//!   which follow the store.
//! - [`slots`] encodes what instances ask a dispatcher for slots, and its answers.
//! - [`members`] tracks the instances that are alive or registered.
//! - [`relay`] fetches changes from an instance with a newer copy of the store.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod digest;
pub mod duty;
pub mod follower;
pub mod frame;
pub mod gossip;
pub mod lag;
pub mod members;
pub mod mirror;
pub mod relay;
pub mod retention;
pub mod slots;

pub use members::Members;
pub use mirror::Mirror;
