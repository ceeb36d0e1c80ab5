//! The simulated platform, called with the platform client of `bramleyramp`.

use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddrV4;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::thread;
use std::time::Duration;

use ramp_coordination::platform_reply::PlatformCallError;
use ramp_coordination::platform_reply::PlatformReply;
use ramp_state::key::Version;
use ramp_transport::platform::Topic;
use ramp_transport::platform::fetch;

/// Longest time that a test waits for the simulated platform.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// A simulated platform that runs as a process of its own; killed on drop.
struct Platform {
    process: Child,
    dir: PathBuf,
    addr: SocketAddrV4,
}

impl Platform {
    fn start(test: &str) -> Platform {
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).unwrap();
        fs::write(dir.join("fleet.ini"), "fleet 1").unwrap();
        fs::write(dir.join("instances.ini"), "instances 1").unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_ramplab"))
            .args(["platform", "--listen", "127.0.0.1:0"])
            .args(["--fleet", "fleet.ini", "--instances", "instances.ini"])
            .args(["--ready-file", "ready"])
            .current_dir(&dir)
            .spawn()
            .unwrap();
        let ready = dir.join("ready");
        for _ in 0..TEST_TIMEOUT.as_millis() / 10 {
            if ready.exists() {
                break;
            }
            thread::sleep(Duration::from_millis(10));
        }
        let addr = fs::read_to_string(ready).unwrap().parse().unwrap();
        Platform { process, dir, addr }
    }

    /// Version and text that a client gets that already has version `after`; the
    /// text is empty when nothing is newer.
    fn read(
        &self,
        topic: Topic,
        after: u64,
        wait: Duration,
    ) -> Result<(u64, String), PlatformCallError> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        match runtime.block_on(fetch(self.addr, topic, Version(after), wait))? {
            PlatformReply::Newer(published) => Ok((published.version.0, published.text)),
            PlatformReply::Unchanged { version } => Ok((version.0, String::new())),
        }
    }

    /// Status line, headers and body of the response to a request.
    fn request(&self, method: &str, path: &str, body: &str) -> String {
        let mut stream = TcpStream::connect(self.addr).unwrap();
        let len = body.len();
        write!(
            stream,
            "{method} {path} HTTP/1.1\r\nhost: platform\r\nconnection: close\r\n\
             content-length: {len}\r\n\r\n{body}"
        )
        .unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).unwrap();
        response
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Result of a read that got this version and text.
fn version_and_text(version: u64, text: &str) -> Result<(u64, String), PlatformCallError> {
    Ok((version, text.to_string()))
}

#[test]
fn first_texts_are_published_and_read_once() {
    let platform = Platform::start("first");
    let read = |topic, after| platform.read(topic, after, Duration::ZERO);
    assert_eq!(read(Topic::Fleet, 0), version_and_text(1, "fleet 1"));
    assert_eq!(
        read(Topic::Instances, 0),
        version_and_text(1, "instances 1")
    );
    assert_eq!(read(Topic::Fleet, 1), version_and_text(1, ""));
}

#[test]
fn long_poll_returns_when_a_file_is_edited() {
    let platform = Platform::start("edited");
    let file = platform.dir.join("fleet.ini");
    let editor = thread::spawn(move || {
        thread::sleep(Duration::from_millis(100));
        fs::write(file, "fleet 2").unwrap();
    });
    let result = platform.read(Topic::Fleet, 1, TEST_TIMEOUT);
    editor.join().unwrap();
    assert_eq!(result, version_and_text(2, "fleet 2"));
}

#[test]
fn long_poll_returns_when_a_text_is_put() {
    let platform = Platform::start("put");
    thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(Duration::from_millis(100));
            let response = platform.request("PUT", "/fleet", "fleet 2");
            assert!(response.contains("x-version: 2\r\n"), "{response}");
        });
        let result = platform.read(Topic::Fleet, 1, TEST_TIMEOUT);
        assert_eq!(result, version_and_text(2, "fleet 2"));
    });
    assert_eq!(
        platform.read(Topic::Instances, 0, Duration::ZERO),
        version_and_text(1, "instances 1")
    );
}

#[test]
fn stale_replica_knows_nothing_newer_than_its_version() {
    let platform = Platform::start("stale");
    platform.request("PUT", "/fleet", "fleet 2");
    platform.request("PUT", "/mode", "stale 1");
    platform.request("PUT", "/fleet", "fleet 3");
    let read = |after| platform.read(Topic::Fleet, after, Duration::ZERO);
    assert_eq!(read(0), version_and_text(1, "fleet 1"));
    assert_eq!(read(2), version_and_text(1, ""));
    platform.request("PUT", "/mode", "up");
    assert_eq!(read(2), version_and_text(3, "fleet 3"));
}

#[test]
fn platform_that_is_down_answers_nothing_and_counts_the_call() {
    let platform = Platform::start("down");
    let read = || platform.read(Topic::Fleet, 0, Duration::ZERO);
    platform.request("PUT", "/mode", "down");
    assert!(matches!(read(), Err(PlatformCallError::Unreachable(_))));
    platform.request("PUT", "/mode", "up");
    assert!(read().is_ok());
    let calls = platform.request("GET", "/calls", "");
    let expected = r#"{"fleet":2,"instances":0,"unanswered":1}"#;
    assert!(calls.ends_with(expected), "{calls}");
}

#[test]
fn long_poll_counts_as_one_call() {
    let platform = Platform::start("calls");
    let wait = Duration::from_millis(300);
    thread::scope(|scope| {
        // A change of the other text must not end the wait.
        scope.spawn(|| {
            thread::sleep(wait / 3);
            platform.request("PUT", "/instances", "instances 2");
        });
        assert_eq!(
            platform.read(Topic::Fleet, 1, wait),
            version_and_text(1, "")
        );
    });
    let calls = platform.request("GET", "/calls", "");
    assert!(calls.contains(r#""fleet":1,"#), "{calls}");
}

#[test]
fn unknown_mode_and_path_are_refused() {
    let platform = Platform::start("refused");
    let mode = platform.request("PUT", "/mode", "sideways");
    assert!(mode.starts_with("HTTP/1.1 400"), "{mode}");
    let other = platform.request("GET", "/nothing", "");
    assert!(other.starts_with("HTTP/1.1 404"), "{other}");
}
