//! Runs a balancer or an agent in passthrough mode: binds its sockets, starts the
//! traffic thread, and runs the control tasks on the calling thread.

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

/// Microseconds in a millisecond. An incarnation is a start time in microseconds.
const US_PER_MS: u64 = 1000;

/// Runs a balancer until it was asked to terminate and the routers no longer send
/// it packets, or its grace period is nearly over.
///
/// # Errors
///
/// [`DaemonError`] if an address can't be bound, the thread can't be started, or
/// the metrics can't be installed.
pub fn run_balancer<F: PacketFormat>(
    settings: ProcessSettings,
    platform: impl PlatformClient,
) -> Result<(), DaemonError> {
    // Must precede the traffic thread, which registers its counters.
    let recorded_metrics = metrics::install()?;
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
        settings,
        clock,
        platform,
        recorded_metrics,
        updates_tx,
        events_rx,
    ))
}

/// Runs an agent until it was asked to terminate and has no request in progress,
/// or its time to finish them is over.
///
/// # Errors
///
/// [`DaemonError`] if the settings have no backend server, an address can't be
/// bound, the thread can't be started, or the metrics can't be installed.
pub fn run_agent<F: PacketFormat>(
    settings: ProcessSettings,
    platform: impl PlatformClient,
) -> Result<(), DaemonError> {
    let Some(local_server) = settings.local_server.clone() else {
        return Err(DaemonError::NotAgent);
    };
    let incarnation = clock::incarnation();
    // Must precede the traffic thread, which registers its counters.
    let recorded_metrics = metrics::install()?;
    let clock = Clock::start();
    let (updates_tx, updates) = flume::unbounded();
    let (events, events_rx) = flume::unbounded();
    let (check_requests_tx, check_requests) = flume::unbounded();
    let run_connect_checks =
        connect_check::serve(check_requests, local_server.address, updates_tx.clone());
    let traffic = agent::Traffic {
        clock,
        connect_checks: check_requests_tx,
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
        spawn_local(run_connect_checks);
        run_control(
            settings,
            clock,
            platform,
            recorded_metrics,
            updates_tx,
            events_rx,
        )
        .await
    })
}

async fn run_control(
    settings: ProcessSettings,
    clock: Clock,
    platform: impl PlatformClient,
    recorded_metrics: Metrics,
    updates: Sender<Update>,
    events: Receiver<Event>,
) -> Result<(), DaemonError> {
    let readiness = Rc::new(Readiness::default());
    let listener = listen(settings.ready).await?;
    spawn_local(readiness::serve(listener, Rc::clone(&readiness)));
    spawn_local(watch_termination(updates.clone(), Rc::clone(&readiness)));
    spawn_local(watch_reload());
    if let Some(address) = settings.metrics {
        let listener = listen(address).await?;
        spawn_local(metrics::http::serve(listener, recorded_metrics));
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
        has_reader_listing: false,
    };
    control.run().await;
    log::info!("stopped");
    Ok(())
}

/// Notifies the traffic thread when the process is asked to terminate.
async fn watch_termination(updates: Sender<Update>, readiness: Rc<Readiness>) {
    if let Err(err) = wait_for_shutdown().await {
        log::error!("signal handlers can't be installed: {err}");
        return;
    }
    log::info!("asked to end");
    readiness.begin_shutdown();
    // Sending fails only when the process is ending.
    let _ = updates.send(Update::Shutdown);
}

/// Handles SIGHUP, the signal to reload the settings, by a log line only: addresses
/// can't change while the process runs, and everything else comes from the
/// platform.
async fn watch_reload() {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(err) => {
            log::error!("the handler of the reload signal can't be installed: {err}");
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
