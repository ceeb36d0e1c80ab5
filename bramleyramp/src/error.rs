//! The one error type of the command line.

use std::io;
use std::process::ExitCode;

use quick_error::quick_error;

/// Exit code for bad usage, settings or documents.
const EXIT_BAD_INPUT: u8 = 2;

quick_error! {
    /// Why a command ended early.
    #[derive(Debug)]
    pub enum CliError {
        /// The command line is wrong.
        Args(err: lexopt::Error) {
            display("{}", err)
            from()
        }
        /// The command line lacks something; the usage text.
        Usage(text: String) {
            display("{}", text)
        }
        /// A settings file or document has faults, all of them listed.
        Input(faults: String) {
            display("{}", faults)
        }
        /// Input or output failed.
        Io(err: io::Error) {
            display("{}", err)
            from()
        }
        /// Something can't be written as JSON.
        Json(err: serde_json::Error) {
            display("{}", err)
            from()
        }
        /// Anything else, in words.
        Other(text: String) {
            display("{}", text)
            from()
        }
    }
}

/// Result of a command.
pub type CliResult<T> = Result<T, CliError>;

impl CliError {
    /// Prints the error and gives the exit code that goes with it.
    pub fn report(&self) -> ExitCode {
        eprintln!("{self}");
        match self {
            CliError::Args(_) | CliError::Usage(_) | CliError::Input(_) => {
                ExitCode::from(EXIT_BAD_INPUT)
            }
            CliError::Io(_) | CliError::Json(_) | CliError::Other(_) => ExitCode::FAILURE,
        }
    }
}
