//! Error type of the subcommands, and the exit code of each error.

use std::io;
use std::process::ExitCode;

use quick_error::quick_error;

/// Exit code for invalid usage, settings or documents.
const EXIT_BAD_INPUT: u8 = 2;

quick_error! {
    /// Why a subcommand failed.
    #[derive(Debug)]
    pub enum CliError {
        /// The command line can't be parsed.
        Args(err: lexopt::Error) {
            display("{}", err)
            from()
        }
        /// A required argument is missing or a value is invalid; a usage text or
        /// message.
        Usage(text: String) {
            display("{}", text)
        }
        /// Settings or documents are invalid; one line for each validation error.
        Input(errors: String) {
            display("{}", errors)
        }
        /// Input or output failed.
        Io(err: io::Error) {
            display("{}", err)
            from()
        }
        /// Output could not be serialized as JSON.
        Json(err: serde_json::Error) {
            display("{}", err)
            from()
        }
        /// Any other failure, as a message.
        Other(text: String) {
            display("{}", text)
            from()
        }
    }
}

/// Result of a subcommand.
pub type CliResult<T> = Result<T, CliError>;

impl CliError {
    /// Prints the error to standard error and returns the exit code.
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
