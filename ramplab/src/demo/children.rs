//! The processes of a demo, none of which outlives it, and its directory.

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

/// Time between two looks at a process.
const POLL: Duration = Duration::from_millis(20);

/// Lines of a log shown when its process fails.
const LOG_LINES_SHOWN: usize = 12;

/// Directory of a demo's files; gone when dropped.
#[derive(Debug)]
pub struct WorkDir {
    path: PathBuf,
    keep: bool,
}

impl WorkDir {
    /// Creates the directory.
    ///
    /// # Errors
    ///
    /// That of the operating system.
    pub fn create(keep: bool) -> io::Result<WorkDir> {
        let id = std::process::id();
        // Kept files of an earlier process with this id stay as they are.
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

    /// A file in it.
    pub fn file(&self, name: impl AsRef<Path>) -> PathBuf {
        self.path.join(name)
    }

    /// The directory itself.
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

/// A running process.
#[derive(Debug)]
pub struct Process {
    name: String,
    log: PathBuf,
    child: Child,
    may_exit: bool,
}

/// Processes, killed when dropped.
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
    /// Starts a process whose output goes to log files in `dir`.
    ///
    /// # Errors
    ///
    /// When it can't be started.
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

    /// Adds a process that was started elsewhere and ends when its work is
    /// done.
    pub fn adopt(&mut self, dir: &WorkDir, name: &str, child: Child) {
        self.processes.push(Process {
            name: name.to_string(),
            log: dir.file(format!("{name}.log")),
            child,
            may_exit: true,
        });
    }

    /// Fails when a process has ended by itself; those that end when their
    /// work is done must have failed.
    ///
    /// # Errors
    ///
    /// Its name, exit status and last log lines.
    pub fn check(&mut self) -> io::Result<()> {
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

    /// Kills a process without a warning.
    ///
    /// # Errors
    ///
    /// That of the operating system.
    pub fn kill(&mut self, name: &str) -> io::Result<()> {
        let Some(position) = self.processes.iter().position(|p| p.name == name) else {
            return Err(io::ErrorKind::NotFound.into());
        };
        let mut process = self.processes.swap_remove(position);
        process.child.kill()?;
        process.child.wait().map(|_| ())
    }

    /// Stops a process where it is, without its knowledge.
    ///
    /// # Errors
    ///
    /// That of the operating system, and when there is none of the name.
    pub fn freeze(&self, name: &str) -> io::Result<()> {
        self.find(name)?.signal("-STOP")
    }

    /// Lets a frozen process go on.
    ///
    /// # Errors
    ///
    /// That of the operating system, and when there is none of the name.
    pub fn resume(&self, name: &str) -> io::Result<()> {
        self.find(name)?.signal("-CONT")
    }

    /// Whether a process of the name was started and not ended since.
    pub fn has(&self, name: &str) -> bool {
        self.find(name).is_ok()
    }

    fn find(&self, name: &str) -> io::Result<&Process> {
        let found = self.processes.iter().find(|p| p.name == name);
        found.ok_or(io::ErrorKind::NotFound.into())
    }

    /// Asks a process to end and waits for it; past `limit` it is killed.
    /// Tells whether it ended in time and with success.
    ///
    /// # Errors
    ///
    /// That of the operating system.
    pub async fn stop(&mut self, name: &str, limit: Duration) -> io::Result<bool> {
        let Some(position) = self.processes.iter().position(|p| p.name == name) else {
            return Ok(true);
        };
        let mut process = self.processes.swap_remove(position);
        process.terminate()?;
        process.wait(limit).await
    }

    /// Asks all processes to end and waits for them; past `limit` they are
    /// killed. Returns the names of those that did not end well.
    ///
    /// # Errors
    ///
    /// That of the operating system.
    pub async fn stop_all(&mut self, limit: Duration) -> io::Result<Vec<String>> {
        for process in &mut self.processes {
            process.terminate()?;
        }
        let until = Instant::now() + limit;
        let mut failed = Vec::new();
        while let Some(mut process) = self.processes.pop() {
            let left = until.duration_since(Instant::now());
            if !process.wait(left).await? {
                failed.push(process.name);
            }
        }
        Ok(failed)
    }

    /// Waits for a process that ends by itself.
    ///
    /// # Errors
    ///
    /// That of the operating system, and when it failed or took too long.
    pub async fn wait(&mut self, name: &str, limit: Duration) -> io::Result<()> {
        let Some(position) = self.processes.iter().position(|p| p.name == name) else {
            return Ok(());
        };
        let mut process = self.processes.swap_remove(position);
        if process.wait(limit).await? {
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
        // The library can only kill; the shell can send other signals.
        let status = Command::new("sh")
            .args(["-c", "kill \"$0\" \"$1\"", signal])
            .arg(self.child.id().to_string())
            .status()?;
        if status.success() {
            return Ok(());
        }
        Err(io::Error::other(format!("{}: no signal", self.name)))
    }

    async fn wait(&mut self, limit: Duration) -> io::Result<bool> {
        let until = Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status.success());
            }
            if Instant::now() >= until {
                self.child.kill()?;
                self.child.wait()?;
                return Ok(false);
            }
            tokio::time::sleep(POLL).await;
        }
    }

    fn exit_report(&self, status: ExitStatus) -> String {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        let shown = &lines[lines.len().saturating_sub(LOG_LINES_SHOWN)..];
        format!("{} ended: {status}\n{}", self.name, shown.join("\n"))
    }
}
