//! Tests of the mesh: an instance's copy of the store never goes back to an older value, and instances
//! find each other.

mod compat;
mod digest;
mod duty;
mod follower;
mod lag;
mod members;
mod mirror;
mod relay;
mod restore;
mod slots;
