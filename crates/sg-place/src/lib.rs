//! Placement, admission and budgets as pure decisions.
//!
//! No function of this crate reads a clock or opens a socket: time is an argument, so tests can
//! simulate any load.
//!
//! - [`plan`] splits a region's requests over the regions that have room.
//! - [`pool`] holds the observations of a service's targets and chooses a target for a request.
//! - [`grant`] checks a target that the dispatcher of a region granted to a request.
//! - [`member`] holds the observations of one target.
//! - [`location`] describes where an instance is, and its round-trip times to targets.
//! - [`abandon`] decides when a request gives up on a slow target.
//! - [`self_report`] holds what a target says of itself in a response.
//! - [`departure`] remembers which runs of targets are leaving.
//! - [`pace`] tells how fast a target's machine works at a moment.
//! - [`pause`] keeps requests away from a target that asked to come back later.
//! - [`limit`] bounds the requests that one instance keeps in flight at one target.
//! - [`cold`] bounds the requests that a cold target receives from the fleet.
//! - [`work_estimate`] estimates how long requests of a route take.
//! - [`quota`] divides a client account's rate into shares that instances lend each other.
//! - [`search`] asks the other instances for a token for a waiting request.
//! - [`quarantine`] detects requests that crash targets.
//! - [`rate_limit`] bounds the requests per second to targets that state such a limit.
//! - [`reach`] tells whether an instance has lost its paths to all targets.
//! - [`relay`] chooses the instances to which an instance without a path to targets passes requests.
//! - [`round_robin`] distributes requests over the parts of a traffic split by weight.
//! - [`retry`] bounds retries.
//! - [`shift_limit`] bounds how fast the regions' shares of running requests change during a load
//!   surge.
//! - [`estimate`] explains what is known of each target for a request.
//! - [`speed`] tells whether a target works more slowly than expected.
//! - [`hash`] ranks targets and instances by rendezvous hashing.
//! - [`stop`] decides whether an instance that stops takes another request.
//! - [`target`] holds the description of a target.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod abandon;
mod candidate;
pub mod cold;
mod contradiction;
pub mod departure;
pub mod estimate;
pub mod grant;
pub mod hash;
pub mod limit;
pub mod location;
pub mod member;
pub mod pace;
pub mod pause;
pub mod plan;
pub mod pool;
pub mod quarantine;
pub mod quota;
pub mod rate_limit;
pub mod reach;
pub mod relay;
pub mod retry;
pub mod round_robin;
mod scarcity;
pub mod search;
pub mod self_report;
pub mod shift_limit;
pub mod speed;
pub mod stop;
pub mod target;
pub mod work_estimate;

pub use plan::Plan;
pub use pool::Pool;
pub use target::Target;
