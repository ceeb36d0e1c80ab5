//! Platform client against a fake platform that sends valid, malformed and
//! truncated responses, or none.

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::time::Duration;

use ramp_coordination::platform_reply::PlatformCallError;
use ramp_coordination::platform_reply::PlatformReply;
use ramp_coordination::platform_reply::PublishedText;
use ramp_state::key::Version;
use ramp_transport::platform::TEXT_LIMIT_BYTES;
use ramp_transport::platform::fetch_fleet;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Starts a server for one connection: it reads a request, writes `response` and
/// closes.
async fn server(response: Vec<u8>) -> SocketAddrV4 {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let SocketAddr::V4(addr) = listener.local_addr().unwrap() else {
        panic!("bound to an IPv4 address");
    };
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 1024];
        let _ = stream.read(&mut buf).await;
        let _ = stream.write_all(&response).await;
    });
    addr
}

async fn fetch(response: impl Into<Vec<u8>>) -> Result<PlatformReply, PlatformCallError> {
    let addr = server(response.into()).await;
    fetch_fleet(addr, Version(3), Duration::ZERO).await
}

fn ok_with(version: &str, body: &[u8]) -> Vec<u8> {
    let len = body.len();
    let head = format!("HTTP/1.1 200 OK\r\nx-version: {version}\r\ncontent-length: {len}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

#[tokio::test]
async fn newer_text_is_read_with_its_version() {
    let published = PublishedText {
        version: Version(9),
        text: "[service x]".to_string(),
    };
    let reply = fetch(ok_with("9", b"[service x]")).await;
    assert_eq!(reply, Ok(PlatformReply::Newer(published)));
}

#[tokio::test]
async fn version_of_a_stale_replica_is_told() {
    let reply = fetch("HTTP/1.1 304 Not Modified\r\nx-version: 2\r\n\r\n").await;
    let version = Version(2);
    assert_eq!(reply, Ok(PlatformReply::Unchanged { version }));
}

#[tokio::test]
async fn answer_without_readable_version_is_refused() {
    for version in ["", "x", "-1", "99999999999999999999999"] {
        let reply = fetch(ok_with(version, b"")).await;
        assert_eq!(reply, Err(PlatformCallError::NoVersion), "{version:?}");
    }
}

#[tokio::test]
async fn text_above_the_limit_is_refused() {
    let at_limit = vec![b' '; TEXT_LIMIT_BYTES];
    assert!(fetch(ok_with("4", &at_limit)).await.is_ok());
    let above = vec![b' '; TEXT_LIMIT_BYTES + 1];
    let reply = fetch(ok_with("4", &above)).await;
    assert_eq!(reply, Err(PlatformCallError::Unreadable));
}

#[tokio::test]
async fn text_that_is_not_utf8_is_refused() {
    let reply = fetch(ok_with("4", b"\xff")).await;
    assert_eq!(reply, Err(PlatformCallError::Unreadable));
}

#[tokio::test]
async fn other_status_is_told() {
    let reply = fetch("HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n").await;
    assert_eq!(reply, Err(PlatformCallError::Status(503)));
}

#[tokio::test]
async fn broken_answer_is_a_failure_to_reach() {
    for response in [
        "",
        "nonsense\r\n\r\n",
        "HTTP/1.1 200 OK\r\nx-version: 4\r\ncontent-length: 9\r\n\r\nshort",
    ] {
        let reply = fetch(response).await;
        assert!(
            matches!(reply, Err(PlatformCallError::Unreachable(_))),
            "{reply:?}"
        );
    }
}

#[tokio::test]
async fn silent_platform_is_given_up_in_time() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let SocketAddr::V4(addr) = listener.local_addr().unwrap() else {
        panic!("bound to an IPv4 address");
    };
    let reply = fetch_fleet(addr, Version(3), Duration::ZERO).await;
    assert_eq!(reply, Err(PlatformCallError::TimedOut));
}
