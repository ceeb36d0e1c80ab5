//! Tests requests over loopback sockets: bodies, verdicts when a server or
//! agent fails, forwarding, slots, feeds, deadlines, drains and idempotency
//! keys. The backend servers are fakes that follow a script.

mod common;

use std::time::Duration;
use std::time::Instant;

use hyper_util::rt::TokioIo;
use ramp_coordination::random::Random;
use ramp_state::fleet::Policy;
use ramp_state::outcome::FlowEnd;
use ramp_state::verdict::MayHaveRun;
use ramp_state::verdict::NotRun;
use ramp_state::verdict::Verdict;
use ramp_transport::requests::serve_flow;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use common::Agent;
use common::Backend;
use common::HttpResponse;
use common::Script;
use common::install_group;
use common::listen;
use common::run;
use common::take_data_centre_out;
use common::unused_address;

const GET: &str = "GET /balance HTTP/1.1\r\nhost: ledger\r\nconnection: close\r\n\r\n";
const CLAIM: &str = "POST /claims HTTP/1.1\r\nhost: ledger\r\nconnection: close\r\n\
                     content-length: 5\r\n\r\nclaim";

/// Long enough that the body is streamed instead of read in full before it is
/// sent.
const UPLOAD_LEN_BYTES: usize = 300_000;

fn upload_request() -> String {
    let head = format!(
        "POST /uploads HTTP/1.1\r\nhost: ledger\r\nconnection: close\r\n\
         content-length: {UPLOAD_LEN_BYTES}\r\n\r\n"
    );
    head + &"u".repeat(UPLOAD_LEN_BYTES)
}

fn warm_policy(slots: u32) -> Policy {
    Policy {
        slots,
        cold_slots: slots,
        ..Policy::default()
    }
}

/// Starts a backend server that returns the request's body.
async fn start_echo_server() -> std::net::SocketAddrV4 {
    let (listener, at) = listen().await;
    spawn_local(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            spawn_local(async move {
                let mut buf = Vec::new();
                let mut len = None;
                while len.is_none_or(|(head, body)| buf.len() < head + body) {
                    assert!(stream.read_buf(&mut buf).await.unwrap() > 0);
                    len = len.or_else(|| head_and_body_len(&buf));
                }
                let (head, body) = len.unwrap();
                let reply = format!("HTTP/1.1 200 OK\r\ncontent-length: {body}\r\n\r\n");
                stream.write_all(reply.as_bytes()).await.unwrap();
                stream.write_all(&buf[head..]).await.unwrap();
                let _ = stream.read(&mut [0; 16]).await;
            });
        }
    });
    at
}

fn head_and_body_len(buf: &[u8]) -> Option<(usize, usize)> {
    let head = buf.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let text = String::from_utf8_lossy(&buf[..head]).to_ascii_lowercase();
    let len = text
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "))?;
    Some((head, len.parse().ok()?))
}

#[test]
fn bodies_pass_both_ways_byte_for_byte() {
    run(async {
        let agent = Agent::start("a", start_echo_server().await).await;
        let mut random = Random::new(7);
        for len in [0, 1, 4096, 4097, 1_000_003] {
            let body: Vec<u8> = (0..len).map(|_| random.below(256) as u8).collect();
            let head = format!(
                "POST /echo HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {len}\r\n\r\n"
            );
            let flow = agent.flow().await;
            let (mut rx, mut tx) = flow.into_split();
            let sent = body.clone();
            spawn_local(async move {
                tx.write_all(head.as_bytes()).await.unwrap();
                tx.write_all(&sent).await.unwrap();
                std::future::pending::<()>().await;
            });
            let mut bytes = Vec::new();
            rx.read_to_end(&mut bytes).await.unwrap();
            let response = HttpResponse { bytes };
            assert_eq!(response.status(), 200);
            assert!(response.body() == body, "{len} bytes differ");
        }
        assert_eq!(agent.take_verdicts(), [Verdict::Served; 5]);
    });
}

#[test]
fn answers_on_one_flow_come_in_order() {
    run(async {
        let agent = Agent::start("a", start_echo_server().await).await;
        let mut flow = agent.flow().await;
        for i in 0..20 {
            let body = format!("request {i}");
            let req = format!(
                "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            flow.write_all(req.as_bytes()).await.unwrap();
            let mut buf = Vec::new();
            while !buf.ends_with(body.as_bytes()) {
                assert!(flow.read_buf(&mut buf).await.unwrap() > 0);
            }
        }
        assert_eq!(agent.take_verdicts(), [Verdict::Served; 20]);
    });
}

#[test]
fn server_dead_before_connect_is_not_run() {
    run(async {
        let agent = Agent::start("a", unused_address().await).await;
        let response = agent.send_request(CLAIM).await;
        assert_eq!(response.status(), 503);
        assert_eq!(response.verdict().as_deref(), Some("not-run"));
        assert!(response.header("retry-after").is_some());
        assert_eq!(agent.take_verdicts(), [Verdict::NotRun(NotRun::NoServer)]);
    });
}

/// Sends one request to an agent whose server follows `script`; the server of
/// the other agent in the group works. Returns the response, the verdicts
/// recorded, and the requests begun at each of the two servers.
async fn request_with_failing_server(
    script: Script,
    req: &str,
) -> (HttpResponse, Vec<Verdict>, u32, u32) {
    let backend = Backend::start(script).await;
    let other = Backend::start(Script::Serve).await;
    let a = Agent::start("a", backend.address).await;
    let b = Agent::start("b", other.address).await;
    install_group(&[&a, &b], &warm_policy(5), &[]);
    let response = a.send_request(req).await;
    let verdicts = a.take_verdicts();
    (
        response,
        verdicts,
        backend.stats.requests.get(),
        other.stats.requests.get(),
    )
}

/// Checks that the verdict that the caller got agrees with where the request
/// was begun.
fn assert_verdict_is_true(response: &HttpResponse, begun: u32, begun_at_peer: u32) {
    match response.verdict().as_deref() {
        Some("not-run") => assert_eq!(begun + begun_at_peer, 0),
        Some("may-have-run") => assert_eq!(begun_at_peer, 0, "sent twice"),
        _ => assert_eq!((response.status(), begun, begun_at_peer), (200, 0, 1)),
    }
}

#[test]
fn server_dying_on_connect_gets_a_true_verdict() {
    run(async {
        for req in [CLAIM, &upload_request()] {
            let (response, _, begun, begun_at_peer) =
                request_with_failing_server(Script::DieOnConnect, req).await;
            assert_verdict_is_true(&response, begun, begun_at_peer);
        }
    });
}

#[test]
fn server_dying_after_the_head_may_have_run() {
    run(async {
        for req in [GET, CLAIM, &upload_request()] {
            let (response, verdicts, begun, begun_at_peer) =
                request_with_failing_server(Script::DieAfterHead, req).await;
            assert_eq!((begun, begun_at_peer), (1, 0));
            assert_eq!(verdicts, [Verdict::MayHaveRun(MayHaveRun::ServerLost)]);
            assert_eq!(response.verdict().as_deref(), Some("may-have-run"));
            assert_eq!(response.status(), 502);
        }
    });
}

#[test]
fn server_dying_in_the_body_may_have_run() {
    run(async {
        let (response, verdicts, begun, begun_at_peer) =
            request_with_failing_server(Script::DieMidBody, &upload_request()).await;
        assert_eq!((begun, begun_at_peer), (1, 0));
        assert_eq!(verdicts, [Verdict::MayHaveRun(MayHaveRun::ServerLost)]);
        assert_eq!(response.verdict().as_deref(), Some("may-have-run"));
    });
}

#[test]
fn server_dying_before_its_answer_may_have_run() {
    run(async {
        for req in [CLAIM, &upload_request()] {
            let (response, verdicts, begun, begun_at_peer) =
                request_with_failing_server(Script::DieBeforeAnswer, req).await;
            assert_eq!((begun, begun_at_peer), (1, 0));
            assert_eq!(verdicts, [Verdict::MayHaveRun(MayHaveRun::ServerLost)]);
            assert_eq!(response.verdict().as_deref(), Some("may-have-run"));
        }
    });
}

#[test]
fn server_dying_in_its_answer_cuts_it_visibly() {
    run(async {
        let (response, verdicts, begun, begun_at_peer) =
            request_with_failing_server(Script::DieMidAnswer, CLAIM).await;
        assert_eq!((begun, begun_at_peer), (1, 0));
        assert_eq!(verdicts, [Verdict::MayHaveRun(MayHaveRun::ServerLost)]);
        assert_eq!(response.header("content-length").as_deref(), Some("100"));
        assert_eq!(response.body(), b"half");
    });
}

#[test]
fn what_the_server_did_not_run_is_tried_elsewhere() {
    run(async {
        let (response, verdicts, begun, begun_at_peer) =
            request_with_failing_server(Script::Refuse, CLAIM).await;
        assert_eq!((begun, begun_at_peer), (1, 1));
        assert_eq!((response.status(), response.body()), (200, &b"ok"[..]));
        assert_eq!(verdicts, [Verdict::Served]);
    });
}

#[test]
fn a_streamed_body_is_never_sent_twice() {
    run(async {
        let (response, verdicts, begun, begun_at_peer) =
            request_with_failing_server(Script::Refuse, &upload_request()).await;
        assert_eq!((begun, begun_at_peer), (1, 0));
        assert_eq!(verdicts, [Verdict::NotRun(NotRun::ServerRefused)]);
        assert_eq!(response.verdict().as_deref(), Some("not-run"));
    });
}

#[test]
fn a_leaving_agent_forwards_requests() {
    run(async {
        let own = Backend::start(Script::Serve).await;
        let other = Backend::start(Script::Serve).await;
        let a = Agent::start("a", own.address).await;
        let b = Agent::start("b", other.address).await;
        install_group(&[&a, &b], &warm_policy(5), &[a.id]);
        for req in [GET, CLAIM] {
            assert_eq!(a.send_request(req).await.body(), b"ok");
        }
        assert_eq!(
            (own.stats.requests.get(), other.stats.requests.get()),
            (0, 2)
        );
        assert_eq!(a.take_verdicts(), [Verdict::Served; 2]);
        assert_eq!(b.take_verdicts(), []);
    });
}

#[test]
fn a_peer_lost_while_it_runs_a_request_may_have_run_it() {
    run(async {
        let other = Backend::start(Script::DieBeforeAnswer).await;
        let a = Agent::start("a", unused_address().await).await;
        let b = Agent::start("b", other.address).await;
        install_group(&[&a, &b], &warm_policy(5), &[a.id]);
        let response = a.send_request(CLAIM).await;
        assert_eq!(response.verdict().as_deref(), Some("may-have-run"));
        assert_eq!(
            a.take_verdicts(),
            [Verdict::MayHaveRun(MayHaveRun::ServerLost)]
        );
    });
}

#[test]
fn requests_on_the_agents_port_need_a_fresh_tag() {
    run(async {
        let backend = Backend::start(Script::Serve).await;
        let b = Agent::start("b", backend.address).await;
        // A relay between the two agents records the signed request.
        let (listener, relay) = listen().await;
        let to = b.address;
        let recorded = spawn_local(async move {
            let (mut from, _) = listener.accept().await.unwrap();
            let mut up = TcpStream::connect(to).await.unwrap();
            let mut challenge = [0; 16];
            up.read_exact(&mut challenge).await.unwrap();
            from.write_all(&challenge).await.unwrap();
            let mut req = vec![0; 4096];
            let n = from.read(&mut req).await.unwrap();
            req.truncate(n);
            up.write_all(&req).await.unwrap();
            let mut response = [0; 4096];
            let n = up.read(&mut response).await.unwrap();
            from.write_all(&response[..n]).await.unwrap();
            req
        });
        let a = Agent::start("a", unused_address().await).await;
        let via_relay = Agent {
            id: b.id,
            cx: b.cx.clone(),
            address: relay,
        };
        install_group(&[&a, &via_relay], &warm_policy(5), &[a.id]);
        assert_eq!(a.send_request(GET).await.body(), b"ok");
        let recorded = recorded.await.unwrap();
        assert_eq!(backend.stats.requests.get(), 1);
        // Replays the recorded request, then sends one without a tag.
        for req in [&recorded[..], GET.as_bytes()] {
            let mut stream = TcpStream::connect(b.address).await.unwrap();
            stream.read_exact(&mut [0; 16]).await.unwrap();
            stream.write_all(req).await.unwrap();
            assert_eq!(HttpResponse::read(&mut stream).await.bytes, b"");
        }
        assert_eq!(backend.stats.requests.get(), 1);
    });
}

#[test]
fn slots_are_never_exceeded_and_the_rest_is_refused_at_once() {
    run(async {
        let backend = Backend::start(Script::Hold).await;
        let agent = Agent::start("a", backend.address).await;
        let policy = Policy {
            queue_limit: Duration::ZERO,
            ..warm_policy(3)
        };
        install_group(&[&agent], &policy, &[]);
        let mut held = Vec::new();
        for i in 1..=3 {
            let mut flow = agent.flow().await;
            flow.write_all(GET.as_bytes()).await.unwrap();
            held.push(flow);
            backend.wait_for_requests(i).await;
        }
        let began = Instant::now();
        for _ in 0..20 {
            let response = agent.send_request(CLAIM).await;
            assert_eq!(response.verdict().as_deref(), Some("not-run"));
            let after: u64 = response.header("retry-after").unwrap().parse().unwrap();
            assert!((1..=4).contains(&after));
        }
        assert!(began.elapsed() < Duration::from_secs(2));
        backend.release();
        for mut flow in held {
            assert_eq!(HttpResponse::read(&mut flow).await.body(), b"ok");
        }
        assert_eq!(backend.stats.max_open.get(), 3);
    });
}

#[test]
fn a_feed_holds_a_slot_only_until_its_head() {
    run(async {
        let backend = Backend::start(Script::Feed).await;
        let agent = Agent::start("a", backend.address).await;
        let policy = Policy {
            connections: 10,
            deadline: Duration::from_millis(200),
            ..warm_policy(1)
        };
        install_group(&[&agent], &policy, &[]);
        let feed = "GET /feed HTTP/1.1\r\nhost: x\r\naccept: text/event-stream\r\n\r\n";
        let mut flows = Vec::new();
        for _ in 0..10 {
            let mut flow = agent.flow().await;
            flow.write_all(feed.as_bytes()).await.unwrap();
            let mut buf = Vec::new();
            while !buf.ends_with(b"data\n\r\n") {
                assert!(flow.read_buf(&mut buf).await.unwrap() > 0);
            }
            flows.push(flow);
        }
        // After the deadline of other requests all feeds are still open and
        // count against the limit of connections.
        tokio::time::sleep(policy.deadline * 2).await;
        assert_eq!(backend.stats.open.get(), 10);
        assert_eq!(agent.cx.load().in_progress, 0);
        let response = agent.send_request(GET).await;
        assert_eq!(response.verdict().as_deref(), Some("not-run"));
        drop(flows);
        while backend.stats.open.get() > 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        // The recorded time of a feed ends at its response head, however long
        // the feed stays open.
        let times = agent.take_response_times();
        assert_eq!(times.len(), 10);
        assert!(times.iter().all(|t| *t < policy.deadline * 2), "{times:?}");
    });
}

#[test]
fn a_caller_that_leaves_cancels() {
    run(async {
        let backend = Backend::start(Script::Hold).await;
        let own = Agent::start("a", backend.address).await;
        let other = Agent::start("b", unused_address().await).await;
        install_group(&[&own, &other], &warm_policy(5), &[other.id]);
        for (i, agent) in [&own, &other].into_iter().enumerate() {
            let mut flow = agent.flow().await;
            flow.write_all(CLAIM.as_bytes()).await.unwrap();
            backend.wait_for_requests(i as u32 + 1).await;
            assert_eq!(own.cx.load().in_progress, 1);
            drop(flow);
            while own.cx.load().in_progress > 0 || backend.stats.open.get() > 0 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            assert_eq!(backend.stats.closed_by_agent.get(), i as u32 + 1);
            assert_eq!(
                agent.take_verdicts(),
                [Verdict::MayHaveRun(MayHaveRun::CallerLeft)]
            );
        }
    });
}

#[test]
fn deadlines_are_passed_on_and_kept() {
    run(async {
        let backend = Backend::start(Script::Hold).await;
        let agent = Agent::start("a", backend.address).await;
        let req = CLAIM.replace("\r\n\r\n", "\r\nbramleyramp-deadline-ms: 150\r\n\r\n");
        let began = Instant::now();
        let response = agent.send_request(&req).await;
        assert!(began.elapsed() >= Duration::from_millis(149));
        assert_eq!(response.status(), 504);
        assert_eq!(response.verdict().as_deref(), Some("may-have-run"));
        let head = backend.stats.heads.borrow()[0].clone();
        let left = head
            .lines()
            .find_map(|l| l.strip_prefix("bramleyramp-deadline-ms: "));
        let left: u64 = left.unwrap().parse().unwrap();
        assert!((1..=150).contains(&left));
        let late = CLAIM.replace("\r\n\r\n", "\r\nbramleyramp-deadline-ms: 0\r\n\r\n");
        assert_eq!(
            agent.send_request(&late).await.verdict().as_deref(),
            Some("not-run")
        );
        assert_eq!(backend.stats.requests.get(), 1);
    });
}

#[test]
fn malformed_requests_are_refused() {
    run(async {
        let backend = Backend::start(Script::Serve).await;
        let agent = Agent::start("a", backend.address).await;
        for header in [
            "bramleyramp-deadline-ms: soon",
            "upgrade: other",
            "idempotency-key: ",
        ] {
            let req = CLAIM.replace("\r\n\r\n", &format!("\r\n{header}\r\n\r\n"));
            let response = agent.send_request(&req).await;
            assert_eq!(response.status(), 400, "{header}");
            assert_eq!(response.verdict().as_deref(), Some("not-run"));
        }
        assert_eq!(backend.stats.requests.get(), 0);
    });
}

#[test]
fn a_drain_cuts_nothing_within_its_limit() {
    run(async {
        let backend = Backend::start(Script::Hold).await;
        let agent = Agent::start("a", backend.address).await;
        install_group(&[&agent], &warm_policy(5), &[]);
        let mut flow = agent.flow().await;
        flow.write_all(CLAIM.as_bytes()).await.unwrap();
        backend.wait_for_requests(1).await;
        let cx = agent.cx.clone();
        let drain = spawn_local(async move { cx.drain().await });
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(!drain.is_finished());
        assert!(agent.cx.load().leaving);
        // A flow opened during the drain is closed, or its request refused.
        let late = agent.send_request(GET).await;
        assert!(late.bytes.is_empty() || late.verdict().as_deref() == Some("not-run"));
        agent.take_verdicts();
        backend.release();
        assert_eq!(HttpResponse::read(&mut flow).await.body(), b"ok");
        drain.await.unwrap();
        assert_eq!(agent.take_verdicts(), [Verdict::Served]);
        assert_eq!(backend.stats.requests.get(), 1);
    });
}

#[test]
fn a_drain_reports_what_its_limit_cuts() {
    run(async {
        let backend = Backend::start(Script::Hold).await;
        let agent = Agent::start("a", backend.address).await;
        let policy = Policy {
            drain_limit: Duration::from_millis(50),
            ..warm_policy(5)
        };
        install_group(&[&agent], &policy, &[]);
        let mut flow = agent.flow().await;
        flow.write_all(CLAIM.as_bytes()).await.unwrap();
        backend.wait_for_requests(1).await;
        agent.cx.drain().await;
        assert_eq!(HttpResponse::read(&mut flow).await.bytes, b"");
        let aborted = Verdict::MayHaveRun(MayHaveRun::DrainLimitPassed);
        assert_eq!(agent.take_verdicts(), [aborted]);
    });
}

fn claim_with_key(key: &str) -> String {
    CLAIM.replace("\r\n\r\n", &format!("\r\nidempotency-key: {key}\r\n\r\n"))
}

/// Starts three agents that exchange claim messages. Waits for the key
/// retention time, after which each of them can rule out older attempts.
async fn start_group(backends: [&Backend; 3]) -> [Agent; 3] {
    let agents = [
        Agent::start("a", backends[0].address).await,
        Agent::start("b", backends[1].address).await,
        Agent::start("c", backends[2].address).await,
    ];
    let policy = Policy {
        key_retention: Duration::from_secs(1),
        ..warm_policy(5)
    };
    install_group(&[&agents[0], &agents[1], &agents[2]], &policy, &[]);
    relay_messages(&agents);
    tokio::time::sleep(policy.key_retention).await;
    agents
}

/// Delivers the agents' messages to one another.
fn relay_messages(agents: &[Agent; 3]) {
    let all: Vec<_> = agents.iter().map(|a| (a.id, a.cx.clone())).collect();
    for (from, cx) in all.clone() {
        let all = all.clone();
        spawn_local(async move {
            loop {
                for out in cx.outgoing().await {
                    let to = all.iter().find(|(id, _)| *id == out.to).unwrap();
                    to.1.on_message(to.1.now(), from, &out.message);
                }
            }
        });
    }
}

#[test]
fn a_retry_with_the_same_key_does_not_run_again() {
    run(async {
        let held = Backend::start(Script::Hold).await;
        let dying = Backend::start(Script::DieBeforeAnswer).await;
        let serving = Backend::start(Script::Serve).await;
        let [a, b, c] = start_group([&held, &dying, &serving]).await;
        // A retry while the first attempt runs, and one after it was served.
        let mut first = a.flow().await;
        first
            .write_all(claim_with_key("one").as_bytes())
            .await
            .unwrap();
        held.wait_for_requests(1).await;
        let response = c.send_request(&claim_with_key("one")).await;
        assert_eq!(response.status(), 409);
        assert_eq!(response.verdict().as_deref(), Some("may-have-run"));
        assert!(response.header("retry-after").is_some());
        held.release();
        assert_eq!(HttpResponse::read(&mut first).await.body(), b"ok");
        let response = c.send_request(&claim_with_key("one")).await;
        assert_eq!(response.status(), 409);
        assert_eq!(response.verdict().as_deref(), Some("served"));
        // Retries after an attempt that may have run.
        for agent in [&b, &c, &a] {
            let response = agent.send_request(&claim_with_key("two")).await;
            assert_eq!(response.verdict().as_deref(), Some("may-have-run"));
        }
        // A request with another key is independent of these.
        assert_eq!(c.send_request(&claim_with_key("three")).await.body(), b"ok");
        let begun = [&held, &dying, &serving].map(|s| s.stats.requests.get());
        assert_eq!(begun, [1, 1, 1]);
    });
}

#[test]
fn a_retry_with_the_same_key_runs_when_the_first_did_not() {
    run(async {
        let refusing = Backend::start(Script::Refuse).await;
        let serving = Backend::start(Script::Serve).await;
        let [a, b, _c] = start_group([&refusing, &serving, &refusing]).await;
        // A streamed body can't be sent to another agent, so the caller gets
        // the verdict of the first try.
        let head = claim_with_key("one").replace("content-length: 5", "content-length: 300000");
        let upload = head.replace("\r\n\r\nclaim", "\r\n\r\n") + &"u".repeat(UPLOAD_LEN_BYTES);
        let response = a.send_request(&upload).await;
        assert_eq!(response.verdict().as_deref(), Some("not-run"));
        tokio::time::sleep(Duration::from_millis(10)).await;
        assert_eq!(b.send_request(&upload).await.body(), b"ok");
        assert_eq!(serving.stats.requests.get(), 1);
    });
}

/// An agent that has not run for the key retention time can't rule out that an
/// earlier attempt ran, so it must not say that the request did not run.
#[test]
fn a_key_with_unknown_history_is_not_reported_as_not_run() {
    run(async {
        let backend = Backend::start(Script::Serve).await;
        let agent = Agent::start("a", backend.address).await;
        install_group(&[&agent], &warm_policy(5), &[]);
        let response = agent.send_request(&claim_with_key("one")).await;
        assert_eq!(response.verdict().as_deref(), Some("may-have-run"));
        assert_eq!(
            agent.take_verdicts(),
            [Verdict::MayHaveRun(MayHaveRun::KeyUnknown)]
        );
        assert_eq!(backend.stats.requests.get(), 0);
    });
}

#[test]
fn a_flow_that_ends_with_its_data_centre_is_given_up() {
    run(async {
        let backend = Backend::start(Script::Hold).await;
        let agent = Agent::start("a", backend.address).await;
        let policy = warm_policy(5);
        install_group(&[&agent], &policy, &[]);
        for out in [false, true] {
            let (caller, agent_end) = tokio::io::duplex(1_024);
            let cx = agent.cx.clone();
            let from = "192.0.2.9:1024".parse().unwrap();
            let end = spawn_local(serve_flow(cx, from, TokioIo::new(agent_end)));
            tokio::task::yield_now().await;
            if out {
                take_data_centre_out(&agent, &policy);
            }
            drop(caller);
            let expected = if out {
                FlowEnd::GivenUp
            } else {
                FlowEnd::Closed
            };
            assert_eq!(end.await.unwrap(), expected);
        }
    });
}
