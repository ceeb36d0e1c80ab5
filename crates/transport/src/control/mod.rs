//! Control thread of a process: configuration, membership, ledger and
//! operator calls. It builds the snapshots that the traffic thread uses.
//!
//! The loop here does the input and output: it waits for one input at a time,
//! passes it to the decision logic in [`core`], and carries out the effects
//! that this returns.

pub mod agent;
pub mod balancer;
pub mod core;
pub mod instances;
pub mod role;
pub mod socket;
pub mod status;

use std::cell::RefCell;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use ramp_coordination::configuration::platform_calls::PlatformCall;
use ramp_coordination::platform_reply::PlatformCallError;
use ramp_coordination::platform_reply::PublishedText;
use ramp_state::key::Version;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::control::core::CallResult;
use crate::control::core::Core;
use crate::control::core::Effect;
use crate::control::core::Input;
use crate::control::role::Role;
use crate::control::socket::ControlSocket;
use crate::operator;
use crate::operator::OperatorSource;
use crate::platform;
use crate::signal;

/// Time without any input after which the core gets [`Input::Tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout for fetching the whole fleet document from a peer.
const DOCUMENT_TIMEOUT: Duration = Duration::from_secs(1);

/// What the control loop is started with.
pub struct Control<R: Role> {
    /// Clock of the process.
    pub clock: Clock,
    /// Socket for control messages.
    pub socket: ControlSocket,
    /// Listener for operator calls.
    pub listener: TcpListener,
    /// Decision logic; shared with the server of operator calls, which reads it.
    pub core: Rc<RefCell<Core<R>>>,
    /// Events of the traffic thread.
    pub events: Receiver<R::Event>,
}

impl<R: Role> Control<R>
where
    Rc<RefCell<Core<R>>>: OperatorSource,
{
    /// Runs until the process may end. Must run inside a `LocalSet`.
    ///
    /// # Errors
    ///
    /// The control socket failed, or no signal handler can be installed.
    pub async fn run(mut self) -> io::Result<()> {
        spawn_local(operator::serve(self.listener, Rc::clone(&self.core)));
        let (results_tx, results) = flume::unbounded();
        let mut calls = Calls {
            results: results_tx,
            fleet: None,
        };
        let mut shutdown = Box::pin(signal::wait_for_shutdown());
        let mut shutting_down = false;
        loop {
            let input = tokio::select! {
                received = self.socket.receive() => match received? {
                    Some(received) => Input::Message(received),
                    None => continue,
                },
                Ok(event) = self.events.recv_async() => Input::Traffic(event),
                Ok(result) = results.recv_async() => Input::CallResult(result),
                result = &mut shutdown, if !shutting_down => {
                    result?;
                    shutting_down = true;
                    Input::Shutdown
                }
                () = sleep(TICK_INTERVAL) => Input::Tick,
            };
            let effects = self.core.borrow_mut().handle(self.clock.now(), input);
            for effect in effects {
                match effect {
                    Effect::Send { to, message } => self.socket.send(to, message),
                    Effect::FetchFleet { platform, call } => calls.fetch_fleet(platform, call),
                    Effect::FetchInstances { platform, after } => {
                        calls.fetch_instances(platform, after);
                    }
                    Effect::FetchDocument { from } => calls.fetch_document(from),
                    Effect::Exit => return Ok(()),
                }
            }
        }
    }
}

/// Calls in background tasks; their results come back to the loop as inputs.
struct Calls {
    results: Sender<CallResult>,
    fleet: Option<JoinHandle<()>>,
}

impl Calls {
    fn fetch_fleet(&mut self, platform: SocketAddrV4, call: PlatformCall) {
        let results = self.results.clone();
        let task = spawn_local(async move {
            let result = platform::fetch_fleet(platform, call.after, call.wait).await;
            // Fails only when the control loop has ended.
            let _ = results.send(CallResult::Fleet(call.id, result));
        });
        if let Some(earlier) = self.fleet.replace(task) {
            earlier.abort();
        }
    }

    fn fetch_instances(&self, platform: SocketAddrV4, after: Version) {
        let results = self.results.clone();
        spawn_local(async move {
            let result = platform::fetch_instances(platform, after, Duration::ZERO).await;
            let _ = results.send(CallResult::Instances(result));
        });
    }

    fn fetch_document(&self, from: SocketAddrV4) {
        let results = self.results.clone();
        spawn_local(async move {
            let result = fetch_peer_document(from).await;
            let _ = results.send(CallResult::Document(from, result));
        });
    }
}

async fn fetch_peer_document(peer: SocketAddrV4) -> Result<PublishedText, PlatformCallError> {
    let reply = operator::fetch_document(peer, DOCUMENT_TIMEOUT).await;
    let document = reply.map_err(|err| PlatformCallError::Unreachable(err.to_string()))?;
    let Some(document) = document else {
        return Err(PlatformCallError::NoVersion);
    };
    Ok(PublishedText {
        version: document.version,
        text: document.text,
    })
}
