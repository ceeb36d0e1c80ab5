//! The runtime of the commands that ask others.

use std::future::Future;

use crate::error::CliResult;

/// Runs `task` to its end on this thread.
///
/// # Errors
///
/// When the runtime can't be had.
pub fn block_on<T>(task: impl Future<Output = T>) -> CliResult<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    Ok(runtime.block_on(task))
}
