//! Command line options.

use std::path::PathBuf;

use gumdrop::Options as _;

/// Steers callers' requests to targets as one entry instance of the fleet.
#[derive(Debug, gumdrop::Options)]
pub struct Options {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Print the version.
    #[options(short = "V", help = "print the version")]
    pub version: bool,
    /// The settings file.
    #[options(help = "the JSON file with this instance's settings", meta = "FILE")]
    pub settings: Option<PathBuf>,
    /// Check the settings and exit.
    #[options(help = "check the settings and exit")]
    pub check: bool,
}

/// Returns the text of `--help`.
#[must_use]
pub fn usage() -> String {
    format!(
        "Usage: sg-entry --settings FILE [--check]\n\n{}\n\n{}",
        "Steers callers' requests to targets as one entry instance of the fleet.",
        Options::usage()
    )
}
