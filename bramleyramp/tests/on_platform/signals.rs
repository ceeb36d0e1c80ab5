//! Tests of signals that arrive while a process starts.

use std::fs;
use std::fs::File;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;

use crate::harness::daemon_process::Ports;
use crate::harness::daemon_process::ProcessConfig;
use crate::harness::daemon_process::send_signal;
use crate::harness::daemon_process::wait_until;

/// Starts a balancer that reads its settings from a named pipe, sends it `signals`
/// while it waits for them, and then writes the settings.
fn start_and_signal(name: &str, signals: &[&str]) -> StartedBalancer {
    let dir = std::env::temp_dir().join(format!("ramp-signals-{}-{name}", std::process::id()));
    fs::create_dir_all(&dir).unwrap();
    let pipe = dir.join("settings");
    let made = Command::new("mkfifo").arg(&pipe).status();
    assert!(made.unwrap().success());
    let config = ProcessConfig {
        name,
        ip: Ipv4Addr::new(127, 79, 0, name.len() as u8),
        ports: Ports::pick(),
        // No store listens there.
        store: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9),
        readers: &[],
        service: None,
        link_mbps: None,
    };
    let child = config.start_with(&pipe, Stdio::null());
    // Blocks until the process opens the pipe for reading.
    let mut settings = File::options().write(true).open(&pipe).unwrap();
    for name in signals {
        send_signal(&child, name);
    }
    settings.write_all(config.settings().as_bytes()).unwrap();
    StartedBalancer { child, dir }
}

struct StartedBalancer {
    child: Child,
    dir: PathBuf,
}

impl Drop for StartedBalancer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl StartedBalancer {
    fn wait_for_end(&mut self) -> ExitStatus {
        let mut ended = None;
        wait_until("the process ends", || {
            ended = self.child.try_wait().unwrap();
            ended.is_some()
        });
        ended.unwrap()
    }
}

// Guards against SIGTERM killing a process that has not yet installed its signal
// handler, instead of shutting it down in order.
#[test]
fn a_process_asked_to_end_while_it_starts_ends_in_order() {
    let mut balancer = start_and_signal("ends", &["-TERM"]);
    let status = balancer.wait_for_end();
    assert!(status.success(), "{status}");
}

// SIGHUP may arrive at any moment, so also while the settings are read.
#[test]
fn a_process_asked_to_reload_while_it_starts_goes_on() {
    let mut balancer = start_and_signal("reloads", &["-HUP", "-TERM"]);
    let status = balancer.wait_for_end();
    assert!(status.success(), "{status}");
}
