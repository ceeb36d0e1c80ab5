//! Async runtime of the `report` and `status` subcommands.

use std::future::Future;

use crate::error::CliResult;

/// Runs `task` to completion on the current thread.
///
/// # Errors
///
/// [`CliError::Io`](crate::error::CliError::Io) when the runtime can't be
/// created.
pub fn block_on<T>(task: impl Future<Output = T>) -> CliResult<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    Ok(runtime.block_on(task))
}
