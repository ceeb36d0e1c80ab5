//! Requests over real loopback sockets, with a fake backend server.

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Instant;

use hyper_util::rt::TokioIo;
use ramp_protocol::seal::FleetKey;
use ramp_state::key::InstanceId;
use ramp_state::key::ServiceId;
use ramp_transport::requests::RequestConfig;
use ramp_transport::requests::RequestContext;
use ramp_transport::requests::serve_flow;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

fn run(test: impl Future<Output = ()>) {
    let rt = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&rt, test);
}

async fn listen() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let SocketAddr::V4(at) = listener.local_addr().unwrap() else {
        panic!("bound to IPv4");
    };
    (listener, at)
}

fn agent(backend_server: SocketAddrV4) -> Rc<RequestContext> {
    RequestContext::new(RequestConfig {
        me: InstanceId::of("ledger-1"),
        service: ServiceId::of("ledger"),
        backend_server,
        key: FleetKey::new([3; 16]),
        seed: 1,
        epoch: Instant::now(),
    })
}

/// Opens a flow to the agent as a caller.
async fn flow(cx: &Rc<RequestContext>) -> TcpStream {
    let (listener, at) = listen().await;
    let cx = cx.clone();
    spawn_local(async move {
        let (stream, _) = listener.accept().await.unwrap();
        serve_flow(cx, at, TokioIo::new(stream)).await;
    });
    TcpStream::connect(at).await.unwrap()
}

#[test]
fn an_answer_comes_back_whole() {
    run(async {
        let (listener, at) = listen().await;
        spawn_local(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buf = [0; 4096];
            let _ = stream.read(&mut buf).await.unwrap();
            stream
                .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello")
                .await
                .unwrap();
        });
        let cx = agent(at);
        let mut caller = flow(&cx).await;
        caller
            .write_all(b"GET /a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
            .await
            .unwrap();
        let mut answer = String::new();
        caller.read_to_string(&mut answer).await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 200 OK"), "{answer}");
        assert!(answer.ends_with("\r\n\r\nhello"), "{answer}");
        assert_eq!(cx.records().drain().count(), 1);
    });
}
