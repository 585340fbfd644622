//! Structured logs: one JSON object a line, on standard error or in a file that is rolled.

use std::num::NonZeroUsize;

use logforth::{
    append::{self, file::FileBuilder},
    core::DispatchBuilder,
    layout::JsonLayout,
    record::{Level, LevelFilter},
};

/// The most log files that are kept.
const MAX_FILES: NonZeroUsize = NonZeroUsize::new(8).expect("more than zero");
/// The largest log file, in bytes.
const MAX_FILE: NonZeroUsize = NonZeroUsize::new(64 << 20).expect("more than zero");
/// The level from which lines are written: changes of state and what is worse.
const FILTER: LevelFilter = LevelFilter::MoreSevereEqual(Level::Info);

/// Why logs can't be written.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The directory can't be used.
    #[error("logs can't be written to {directory} ({cause}); name a directory that can be written")]
    Directory {
        /// The directory.
        directory: String,
        /// What the system said.
        cause: String,
    },
    /// Logs were set up already.
    #[error("logs were set up twice ({cause}); set them up once")]
    Twice {
        /// What the library said.
        cause: String,
    },
}

/// Sets logs up for the process: in `directory` if one is given, else on standard error.
///
/// # Errors
/// See [`Error`].
pub fn init(directory: Option<&str>, name: &str) -> Result<(), Error> {
    let starter = logforth::starter_log::builder();
    let starter = match directory {
        None => starter.dispatch(stderr),
        Some(directory) => {
            let file = file(directory, name)?;
            starter.dispatch(|dispatch| dispatch.filter(FILTER).append(file))
        }
    };
    starter.try_apply().map_err(|error| Error::Twice {
        cause: error.to_string(),
    })
}

fn stderr(dispatch: DispatchBuilder<false>) -> DispatchBuilder<true> {
    let append = append::Stderr::default().with_layout(JsonLayout::default());
    dispatch.filter(FILTER).append(append)
}

fn file(directory: &str, name: &str) -> Result<append::File, Error> {
    FileBuilder::new(directory, name)
        .filename_suffix("log")
        .rollover_size(MAX_FILE)
        .max_log_files(MAX_FILES)
        .layout(JsonLayout::default())
        .build()
        .map_err(|error| Error::Directory {
            directory: directory.to_owned(),
            cause: error.to_string(),
        })
}
