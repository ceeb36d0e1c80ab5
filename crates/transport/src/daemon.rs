//! Runs a balancer or an agent as a whole process: binds its sockets and starts
//! its threads.
//!
//! The calling thread becomes the control thread. The traffic thread is started
//! here and ends when the control thread does.

use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::thread;

use ::metrics::SetRecorderError;
use flume::Receiver;
use flume::Sender;
use quick_error::quick_error;
use ramp_protocol::auth::FleetKey;
use ramp_state::key::Incarnation;
use ramp_state::key::InstanceId;
use ramp_state::key::ServiceId;
use ramp_state::key::mix;
use ramp_state::settings::AgentSettings;
use ramp_state::settings::Settings;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

use crate::agent;
use crate::balancer;
use crate::clock;
use crate::clock::Clock;
use crate::control::Control;
use crate::control::agent::AgentRole;
use crate::control::balancer::BalancerRole;
use crate::control::core::Core;
use crate::control::role::Role;
use crate::control::socket::ControlSocket;
use crate::logging;
use crate::metrics;
use crate::metrics::Metrics;
use crate::requests::RequestConfig;
use crate::requests::RequestContext;
use crate::requests::serve_peers;
use crate::udp;

quick_error! {
    /// Why a daemon ended before it was asked to.
    #[derive(Debug)]
    pub enum DaemonError {
        /// An address can't be bound.
        Bind(address: SocketAddrV4, err: io::Error) {
            display("{address} can't be bound: {err}")
        }
        /// The recorder of metrics can't be installed.
        Metrics(err: SetRecorderError<Metrics>) {
            display("metrics recorder can't be installed: {err}")
            from()
        }
        /// A socket or thread failed.
        Io(err: io::Error) {
            display("{err}")
            from()
        }
        /// The settings of an agent name no backend server.
        NotAgent {
            display("the settings name no backend server")
        }
    }
}

/// Runs a balancer until it is asked to end.
///
/// # Errors
///
/// [`DaemonError`] when an address can't be bound, the metrics recorder can't be
/// installed, or a socket or thread fails.
pub fn run_balancer(settings: Settings) -> Result<(), DaemonError> {
    let clock = Clock::start();
    let (updates_tx, updates) = flume::unbounded();
    let (events, events_rx) = flume::unbounded();
    let traffic = balancer::Traffic {
        me: InstanceId::of(&settings.name),
        key: FleetKey::new(settings.key),
        socket: udp::bind(settings.address).map_err(|err| bind_error(settings.address, err))?,
        clock,
        updates,
        events,
    };
    start_thread("traffic", move || traffic.run())?;
    let role = BalancerRole::new(updates_tx);
    block_on(run_control(
        settings,
        clock,
        clock::incarnation(),
        role,
        events_rx,
    ))
}

/// Runs an agent until it is asked to end and has drained.
///
/// # Errors
///
/// [`DaemonError`] when the settings name no backend server, an address can't be
/// bound, the metrics recorder can't be installed, or a socket or thread fails.
pub fn run_agent(settings: Settings) -> Result<(), DaemonError> {
    let Some(agent) = settings.agent.clone() else {
        return Err(DaemonError::NotAgent);
    };
    let clock = Clock::start();
    let incarnation = clock::incarnation();
    let (updates_tx, updates) = flume::unbounded();
    let (events, events_rx) = flume::unbounded();
    let socket = udp::bind(settings.address).map_err(|err| bind_error(settings.address, err))?;
    socket.set_nonblocking(true)?;
    let traffic = AgentTraffic {
        settings: settings.clone(),
        agent,
        clock,
        incarnation,
        socket,
        updates,
        events,
    };
    start_thread("traffic", move || traffic.run())?;
    let role = AgentRole::new(&settings.name, updates_tx);
    block_on(run_control(settings, clock, incarnation, role, events_rx))
}

/// Everything from which an agent's traffic thread builds its state. That state
/// can't be sent between threads, so the thread builds it itself.
struct AgentTraffic {
    settings: Settings,
    agent: AgentSettings,
    clock: Clock,
    incarnation: Incarnation,
    socket: std::net::UdpSocket,
    updates: Receiver<agent::thread_messages::Update>,
    events: Sender<agent::thread_messages::Event>,
}

impl AgentTraffic {
    fn run(self) -> io::Result<()> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        LocalSet::new().block_on(&runtime, self.serve())
    }

    async fn serve(self) -> io::Result<()> {
        let me = InstanceId::of(&self.settings.name);
        let key = FleetKey::new(self.settings.key);
        // TCP sequence numbers must differ between agents and between starts.
        let seed = mix(me.0 ^ self.incarnation.0);
        let requests = RequestContext::new(RequestConfig {
            me,
            service: ServiceId(0),
            backend_server: self.agent.backend_server,
            incarnation: self.incarnation,
            key,
            seed,
            epoch: self.clock.epoch(),
        });
        let listener = TcpListener::bind(self.settings.address).await?;
        spawn_local(serve_peers(Rc::clone(&requests), listener));
        let traffic = agent::traffic::Traffic {
            me,
            key,
            socket: UdpSocket::from_std(self.socket)?,
            fabric: self.agent.fabric,
            clock: self.clock,
            seed,
            updates: self.updates,
            events: self.events,
            requests,
        };
        traffic.run().await
    }
}

async fn run_control<R: Role>(
    settings: Settings,
    clock: Clock,
    incarnation: Incarnation,
    role: R,
    events: Receiver<R::Event>,
) -> Result<(), DaemonError> {
    let me = InstanceId::of(&settings.name);
    let key = FleetKey::new(settings.key);
    let recorder = metrics::install()?;
    let metrics_listener = listen(settings.metrics).await?;
    spawn_local(metrics::http::serve(metrics_listener, recorder));
    let control = Control {
        clock,
        socket: ControlSocket::bind(settings.control, key, me, incarnation)
            .map_err(|err| bind_error(settings.control, err))?,
        listener: listen(settings.control).await?,
        core: Rc::new(RefCell::new(Core::new(
            settings,
            incarnation,
            role,
            clock.now(),
        ))),
        events,
    };
    control.run().await?;
    Ok(())
}

async fn listen(address: SocketAddrV4) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address)
        .await
        .map_err(|err| bind_error(address, err))
}

fn bind_error(address: SocketAddrV4, err: io::Error) -> DaemonError {
    DaemonError::Bind(address, err)
}

fn block_on(task: impl Future<Output = Result<(), DaemonError>>) -> Result<(), DaemonError> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, task)
}

/// Starts a traffic thread. The process is useless without it, so a failure of
/// the thread ends the process; the platform then starts a new one.
pub(crate) fn start_thread(
    name: &str,
    body: impl FnOnce() -> io::Result<()> + Send + 'static,
) -> io::Result<()> {
    thread::Builder::new()
        .name(name.to_string())
        .spawn(move || {
            if let Err(err) = body() {
                log::error!("traffic thread failed: {err}");
                logging::flush();
                std::process::exit(1);
            }
        })?;
    Ok(())
}
