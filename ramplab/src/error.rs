//! Error type of the subcommands, and the exit code for each error.

use std::io;
use std::process::ExitCode;

use quick_error::quick_error;

/// Exit code for invalid arguments, settings or documents; other failures exit
/// with 1.
const EXIT_BAD_INPUT: u8 = 2;

quick_error! {
    /// Reason why a subcommand failed.
    #[derive(Debug)]
    pub enum CliError {
        /// An argument could not be parsed.
        Args(err: lexopt::Error) {
            display("{}", err)
            from()
        }
        /// A required argument is missing or invalid; holds the usage text.
        Usage(text: String) {
            display("{}", text)
        }
        /// A settings file or document is invalid; lists all of its errors.
        Input(errors: String) {
            display("{}", errors)
        }
        /// A file or network operation failed.
        Io(err: io::Error) {
            display("{}", err)
            from()
        }
        /// Any other failure; the message to print.
        Other(text: String) {
            display("{}", text)
            from()
        }
    }
}

/// Result of a subcommand.
pub type CliResult<T> = Result<T, CliError>;

impl CliError {
    /// Prints the error to stderr and returns the exit code for it.
    pub fn report(&self) -> ExitCode {
        eprintln!("{self}");
        match self {
            CliError::Args(_) | CliError::Usage(_) | CliError::Input(_) => {
                ExitCode::from(EXIT_BAD_INPUT)
            }
            CliError::Io(_) | CliError::Other(_) => ExitCode::FAILURE,
        }
    }
}
