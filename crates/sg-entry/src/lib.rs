//! Daemon of an entry instance: settings, components, and the addresses that it serves.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms)]

pub mod admin;
pub mod budgets;
pub mod daemon;
pub mod dependencies;
pub mod evidence;
pub mod logs;
pub mod lookup;
pub mod options;
pub mod positions;
pub mod probe;
pub mod serve;
pub mod settings;
pub mod stop;

pub use options::Options;
pub use settings::Settings;
