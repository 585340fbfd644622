//! Structured logs: one JSON object per line, on standard error or in rotated files.

use std::num::NonZeroUsize;

use logforth::{
    append::{self, file::FileBuilder},
    core::DispatchBuilder,
    layout::JsonLayout,
    record::{Level, LevelFilter},
};

/// Maximum number of log files.
const MAX_FILES: NonZeroUsize = NonZeroUsize::new(8).expect("more than zero");
/// Size at which a log file is rotated, in bytes.
const MAX_FILE_BYTES: NonZeroUsize = NonZeroUsize::new(64 << 20).expect("more than zero");
/// Lowest level that is logged. Changes of state are logged at this level.
const LEVEL_FILTER: LevelFilter = LevelFilter::MoreSevereEqual(Level::Info);

/// Errors of the log setup.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The log directory can't be used.
    #[error("can't write logs to {directory} ({cause}); set 'logs' to a writable directory")]
    Directory {
        /// Path of the directory.
        directory: String,
        /// Cause reported by the logging library.
        cause: String,
    },
    /// Logging is initialized already.
    #[error("logging is initialized already ({cause}); initialize it only once")]
    AlreadyInitialized {
        /// Cause reported by the logging library.
        cause: String,
    },
}

/// Initializes logging for the process: in `directory` if given, otherwise on standard error.
///
/// # Errors
/// See [`Error`].
pub fn init(directory: Option<&str>, name: &str) -> Result<(), Error> {
    let starter = logforth::starter_log::builder();
    let starter = match directory {
        None => starter.dispatch(log_to_stderr),
        Some(directory) => {
            let file = file_appender(directory, name)?;
            starter.dispatch(|dispatch| dispatch.filter(LEVEL_FILTER).append(file))
        }
    };
    starter
        .try_apply()
        .map_err(|error| Error::AlreadyInitialized {
            cause: error.to_string(),
        })
}

fn log_to_stderr(dispatch: DispatchBuilder<false>) -> DispatchBuilder<true> {
    let append = append::Stderr::default().with_layout(JsonLayout::default());
    dispatch.filter(LEVEL_FILTER).append(append)
}

fn file_appender(directory: &str, name: &str) -> Result<append::File, Error> {
    FileBuilder::new(directory, name)
        .filename_suffix("log")
        .rollover_size(MAX_FILE_BYTES)
        .max_log_files(MAX_FILES)
        .layout(JsonLayout::default())
        .build()
        .map_err(|error| Error::Directory {
            directory: directory.to_owned(),
            cause: error.to_string(),
        })
}
