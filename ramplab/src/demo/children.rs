//! Child processes of a demo and its working directory.
//!
//! Dropping [`Children`] kills every process that still runs, so none outlives
//! the demo. Dropping [`WorkDir`] deletes the logs and histories, unless the
//! user asked to keep them.

use std::fs;
use std::fs::File;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;

use tokio::time::Instant;

/// Interval between checks whether a process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Last lines of a process's log that an error shows when the process fails.
const LOG_LINES_SHOWN: usize = 12;

/// Temporary directory for a demo's files; deleted on drop unless `keep` is set.
#[derive(Debug)]
pub struct WorkDir {
    path: PathBuf,
    keep: bool,
}

impl WorkDir {
    /// Creates a new directory under the system's temporary directory.
    ///
    /// # Errors
    ///
    /// When the operating system can't create it.
    pub fn create(keep: bool) -> io::Result<WorkDir> {
        let id = std::process::id();
        // The directory of an earlier demo with the same process id may have been
        // kept: take the next free number instead of reusing it.
        for number in 1.. {
            let path = std::env::temp_dir().join(format!("ramplab-demo-{id}-{number}"));
            match fs::create_dir(&path) {
                Ok(()) => return Ok(WorkDir { path, keep }),
                Err(err) if err.kind() == io::ErrorKind::AlreadyExists => {}
                Err(err) => return Err(err),
            }
        }
        Err(io::ErrorKind::AlreadyExists.into())
    }

    /// Path of the file `name` in this directory.
    pub fn file(&self, name: impl AsRef<Path>) -> PathBuf {
        self.path.join(name)
    }

    /// Path of the directory.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for WorkDir {
    fn drop(&mut self) {
        if !self.keep {
            let _ = fs::remove_dir_all(&self.path);
        }
    }
}

/// A child process and where it logs.
#[derive(Debug)]
pub struct Process {
    name: String,
    log: PathBuf,
    child: Child,
    /// Whether the process exits when its work is done, so that an exit with
    /// success is expected.
    may_exit: bool,
}

/// Child processes by name; all are killed on drop.
#[derive(Debug, Default)]
pub struct Children {
    processes: Vec<Process>,
}

impl Drop for Children {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.child.kill();
        }
        for process in &mut self.processes {
            let _ = process.child.wait();
        }
    }
}

impl Children {
    /// Starts a process that is expected to run until it is stopped. Its
    /// standard output and error go to `NAME.log` in `dir`.
    ///
    /// # Errors
    ///
    /// When the log file can't be created or the process can't be started.
    pub fn start(&mut self, dir: &WorkDir, name: &str, command: &mut Command) -> io::Result<()> {
        let log = dir.file(format!("{name}.log"));
        let file = File::create(&log)?;
        let child = command
            .stdin(Stdio::null())
            .stdout(file.try_clone()?)
            .stderr(file)
            .spawn()?;
        self.processes.push(Process {
            name: name.to_string(),
            log,
            child,
            may_exit: false,
        });
        Ok(())
    }

    /// Adds a process that the caller has started and that exits when its work
    /// is done.
    pub fn add(&mut self, dir: &WorkDir, name: &str, child: Child) {
        self.processes.push(Process {
            name: name.to_string(),
            log: dir.file(format!("{name}.log")),
            child,
            may_exit: true,
        });
    }

    /// Checks that no process has exited unexpectedly. One added with
    /// [`Children::add`] may have exited with success.
    ///
    /// # Errors
    ///
    /// Name, exit status and last log lines of the first process that has.
    pub fn check_running(&mut self) -> io::Result<()> {
        for process in &mut self.processes {
            let Some(status) = process.child.try_wait()? else {
                continue;
            };
            if !(process.may_exit && status.success()) {
                return Err(io::Error::other(process.exit_report(status)));
            }
        }
        Ok(())
    }

    /// Kills a process with `SIGKILL` and waits for its exit.
    ///
    /// # Errors
    ///
    /// When there is no process of this name or it can't be killed.
    pub fn kill(&mut self, name: &str) -> io::Result<()> {
        let Some(position) = self.processes.iter().position(|p| p.name == name) else {
            return Err(io::ErrorKind::NotFound.into());
        };
        let mut process = self.processes.swap_remove(position);
        process.child.kill()?;
        process.child.wait().map(|_| ())
    }

    /// Suspends a process with `SIGSTOP`, which it can't catch, so it gets no
    /// chance to prepare.
    ///
    /// # Errors
    ///
    /// When there is no process of this name or it can't be signalled.
    pub fn freeze(&self, name: &str) -> io::Result<()> {
        self.find(name)?.signal("-STOP")
    }

    /// Resumes a frozen process with `SIGCONT`.
    ///
    /// # Errors
    ///
    /// When there is no process of this name or it can't be signalled.
    pub fn resume(&self, name: &str) -> io::Result<()> {
        self.find(name)?.signal("-CONT")
    }

    /// Whether a process of this name was started and has not been killed or
    /// stopped since.
    pub fn contains(&self, name: &str) -> bool {
        self.find(name).is_ok()
    }

    fn find(&self, name: &str) -> io::Result<&Process> {
        let found = self.processes.iter().find(|p| p.name == name);
        found.ok_or(io::ErrorKind::NotFound.into())
    }

    /// Sends `SIGTERM` to a process and waits for its exit; after `timeout` it
    /// is killed. Returns whether it exited in time and with success.
    ///
    /// # Errors
    ///
    /// When the process can't be signalled or waited for.
    pub async fn stop(&mut self, name: &str, timeout: Duration) -> io::Result<bool> {
        let Some(position) = self.processes.iter().position(|p| p.name == name) else {
            return Ok(true);
        };
        let mut process = self.processes.swap_remove(position);
        process.terminate()?;
        process.wait(timeout).await
    }

    /// Sends `SIGTERM` to all processes and waits for their exit; after
    /// `timeout` they are killed. Returns the names of those that exited late or
    /// without success.
    ///
    /// # Errors
    ///
    /// When a process can't be signalled or waited for.
    pub async fn stop_all(&mut self, timeout: Duration) -> io::Result<Vec<String>> {
        for process in &mut self.processes {
            process.terminate()?;
        }
        let deadline = Instant::now() + timeout;
        let mut failed = Vec::new();
        while let Some(mut process) = self.processes.pop() {
            let time_left = deadline.duration_since(Instant::now());
            if !process.wait(time_left).await? {
                failed.push(process.name);
            }
        }
        Ok(failed)
    }

    /// Waits for the exit of a process that exits when its work is done. After
    /// `timeout` it is killed.
    ///
    /// # Errors
    ///
    /// When the process failed or took too long, or can't be waited for.
    pub async fn wait(&mut self, name: &str, timeout: Duration) -> io::Result<()> {
        let Some(position) = self.processes.iter().position(|p| p.name == name) else {
            return Ok(());
        };
        let mut process = self.processes.swap_remove(position);
        if process.wait(timeout).await? {
            return Ok(());
        }
        let status = process.child.wait()?;
        Err(io::Error::other(process.exit_report(status)))
    }
}

impl Process {
    fn terminate(&mut self) -> io::Result<()> {
        if self.child.try_wait()?.is_some() {
            return Ok(());
        }
        self.signal("-TERM")
    }

    fn signal(&self, signal: &str) -> io::Result<()> {
        // The standard library can only send SIGKILL; the shell's `kill` sends any.
        let status = Command::new("sh")
            .args(["-c", "kill \"$0\" \"$1\"", signal])
            .arg(self.child.id().to_string())
            .status()?;
        if status.success() {
            return Ok(());
        }
        Err(io::Error::other(format!(
            "{}: can't send {signal}",
            self.name
        )))
    }

    async fn wait(&mut self, timeout: Duration) -> io::Result<bool> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status.success());
            }
            if Instant::now() >= deadline {
                self.child.kill()?;
                self.child.wait()?;
                return Ok(false);
            }
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        }
    }

    /// Message with the exit status and the last lines of the log.
    fn exit_report(&self, status: ExitStatus) -> String {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        let shown = &lines[lines.len().saturating_sub(LOG_LINES_SHOWN)..];
        format!("{} exited: {status}\n{}", self.name, shown.join("\n"))
    }
}
