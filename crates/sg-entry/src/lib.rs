//! Daemon of an entry instance: reads the settings, starts the components, and serves callers,
//! other instances and operators.
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
pub mod probe;
pub mod serve;
pub mod settings;
pub mod splits;
pub mod stop;

pub use options::Options;
pub use settings::Settings;
