//! Control thread of a process: configuration, membership, ledger and
//! operator calls. It makes the snapshots that traffic threads work by.
//!
//! [`core`] decides, this loop carries out: it waits for one input at a time,
//! hands it to the core and performs the effects that come back.

pub mod agent;
pub mod balancer;
pub mod core;
pub mod role;
pub mod socket;
pub mod status;

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::control::core::Core;
use crate::control::core::Effect;
use crate::control::core::Input;
use crate::control::core::PlatformReply;
use crate::control::core::WatchCall;
use crate::control::role::Role;
use crate::control::socket::ControlSocket;
use crate::operator;
use crate::operator::OperatorSource;
use crate::platform;
use crate::signal;

/// Time between two turns without any input.
const TURN: Duration = Duration::from_millis(50);

/// What the control loop needs.
pub struct Control<R: Role> {
    /// Clock of the process.
    pub clock: Clock,
    /// Socket for control messages.
    pub socket: ControlSocket,
    /// Listener for operator calls.
    pub listener: TcpListener,
    /// What it decides by.
    pub core: Rc<RefCell<Core<R>>>,
    /// News from the traffic thread.
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
    /// The control socket failed, or signals can't be watched.
    pub async fn run(mut self) -> io::Result<()> {
        spawn_local(operator::serve(self.listener, Rc::clone(&self.core)));
        let (replies_tx, replies) = flume::unbounded();
        let mut end = Box::pin(signal::wait_for_end());
        let mut ending = false;
        loop {
            let input = tokio::select! {
                received = self.socket.receive() => match received? {
                    Some(received) => Input::Message(received),
                    None => continue,
                },
                Ok(event) = self.events.recv_async() => Input::Traffic(event),
                Ok(reply) = replies.recv_async() => Input::Platform(reply),
                result = &mut end, if !ending => {
                    result?;
                    ending = true;
                    Input::End
                }
                () = sleep(TURN) => Input::Turn,
            };
            let effects = self.core.borrow_mut().handle(self.clock.now(), input);
            for effect in effects {
                match effect {
                    Effect::Send { to, message } => self.socket.send(to, message),
                    Effect::Watch(call) => start_watch(call, replies_tx.clone()),
                    Effect::Exit => return Ok(()),
                }
            }
        }
    }
}

/// Calls the platform in the background; the reply comes back as an input.
fn start_watch(call: WatchCall, replies: Sender<PlatformReply>) {
    spawn_local(async move {
        sleep(call.delay).await;
        let result = platform::fetch(call.platform, call.topic, call.after, call.wait).await;
        // The loop may have ended meanwhile.
        let _ = replies.send(PlatformReply {
            topic: call.topic,
            result,
        });
    });
}
