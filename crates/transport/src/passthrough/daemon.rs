//! A balancer or an agent as a whole process.

use std::future::Future;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::rc::Rc;

use flume::Receiver;
use flume::Sender;
use ramp_coordination::passthrough::platform_client::PlatformClient;
use ramp_coordination::passthrough::readers::Readers;
use ramp_protocol::format::PacketFormat;
use ramp_state::key::InstanceId;
use ramp_state::key::mix;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

use super::agent;
use super::balancer;
use super::connect_check;
use super::control::Control;
use super::feed::Feed;
use super::process_settings::ProcessSettings;
use super::readiness;
use super::readiness::Readiness;
use super::sockets;
use super::thread_messages::Event;
use super::thread_messages::Update;
use crate::clock;
use crate::clock::Clock;
use crate::daemon::DaemonError;
use crate::daemon::start_thread;
use crate::metrics;
use crate::metrics::Metrics;
use crate::signal::wait_for_shutdown;

/// Microseconds, in which start numbers count, in a millisecond.
const US_PER_MS: u64 = 1000;

/// Runs a balancer until it was asked to end and the routers have left it.
///
/// # Errors
///
/// [`DaemonError`] when an address can't be bound or a socket fails.
pub fn run_balancer<F: PacketFormat>(
    settings: ProcessSettings,
    platform: impl PlatformClient,
) -> Result<(), DaemonError> {
    // Before the traffic thread makes its counters.
    let counted = metrics::install()?;
    let clock = Clock::start();
    let (updates_tx, updates) = flume::unbounded();
    let (events, events_rx) = flume::unbounded();
    let traffic = balancer::Traffic {
        clock,
        data: bind(SocketAddrV4::new(settings.ip, settings.data_port))?,
        peers: bind(SocketAddrV4::new(settings.ip, settings.peer_port))?,
        settings: settings.clone(),
        updates,
        events,
    };
    start_thread("traffic", move || traffic.run::<F>())?;
    block_on(run_control(
        settings, clock, platform, counted, updates_tx, events_rx,
    ))
}

/// Runs an agent until it was asked to end and has no request in progress.
///
/// # Errors
///
/// [`DaemonError`] when an address can't be bound or a socket fails.
pub fn run_agent<F: PacketFormat>(
    settings: ProcessSettings,
    platform: impl PlatformClient,
) -> Result<(), DaemonError> {
    let Some(local_server) = settings.local_server.clone() else {
        return Err(DaemonError::NotAgent);
    };
    let incarnation = clock::incarnation();
    // Before the traffic thread makes its counters.
    let counted = metrics::install()?;
    let clock = Clock::start();
    let (updates_tx, updates) = flume::unbounded();
    let (events, events_rx) = flume::unbounded();
    let (tries_tx, tries) = flume::unbounded();
    let trying = connect_check::serve(tries, local_server.address, updates_tx.clone());
    let traffic = agent::Traffic {
        clock,
        tries: tries_tx,
        nonce: mix(incarnation.0) as u8,
        started_ms: incarnation.0 / US_PER_MS,
        data: bind(SocketAddrV4::new(settings.ip, settings.data_port))?,
        outbound: bind(local_server.outbound)?,
        settings: settings.clone(),
        local_server,
        updates,
        events,
    };
    start_thread("traffic", move || traffic.run::<F>())?;
    block_on(async {
        spawn_local(trying);
        run_control(settings, clock, platform, counted, updates_tx, events_rx).await
    })
}

async fn run_control(
    settings: ProcessSettings,
    clock: Clock,
    platform: impl PlatformClient,
    counted: Metrics,
    updates: Sender<Update>,
    events: Receiver<Event>,
) -> Result<(), DaemonError> {
    let readiness = Rc::new(Readiness::default());
    let listener = listen(settings.ready).await?;
    spawn_local(readiness::serve(listener, Rc::clone(&readiness)));
    spawn_local(watch_end(updates.clone(), Rc::clone(&readiness)));
    spawn_local(watch_reload());
    if let Some(address) = settings.metrics {
        let listener = listen(address).await?;
        spawn_local(metrics::http::serve(listener, counted));
    }
    let feed = Rc::new(Feed::new(clock));
    if let Some(address) = settings.feed {
        let listener = listen(address).await?;
        spawn_local(Rc::clone(&feed).serve(listener));
    }
    let control = Control {
        platform,
        clock,
        updates,
        events,
        readiness,
        feed,
        readers: Readers::new(
            InstanceId::of(&settings.name),
            settings.feed,
            &settings.readers,
        ),
    };
    control.run().await;
    log::info!("stopped");
    Ok(())
}

/// Tells the traffic thread when the process is asked to end.
async fn watch_end(updates: Sender<Update>, readiness: Rc<Readiness>) {
    if let Err(err) = wait_for_shutdown().await {
        log::error!("signals can't be watched: {err}");
        return;
    }
    log::info!("asked to end");
    readiness.begin_shutdown();
    // The traffic thread is gone only when the process ends.
    let _ = updates.send(Update::Shutdown);
}

/// Takes the signal that the settings have changed. Addresses can't change
/// while the process runs, and everything else comes from the platform.
async fn watch_reload() {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(err) => {
            log::error!("the signal to reload can't be watched: {err}");
            return;
        }
    };
    while hangup.recv().await.is_some() {
        log::info!("asked to reload: the settings in use stay until the next start");
    }
}

async fn listen(address: SocketAddrV4) -> Result<TcpListener, DaemonError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|err| DaemonError::Bind(address, err))
}

fn bind(address: SocketAddrV4) -> Result<UdpSocket, DaemonError> {
    sockets::bind(address).map_err(|err| DaemonError::Bind(address, err))
}

fn block_on(task: impl Future<Output = Result<(), DaemonError>>) -> Result<(), DaemonError> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, task)
}
