//! Simulated platform: an HTTP server that publishes two texts, the fleet
//! document and the instance list.
//!
//! Clients read a text or wait for a newer version by long polling. A new version
//! is published when the file of a text changes or by an HTTP `PUT`. The platform
//! can be told to fail: not to answer, or to serve an older version.

mod service;
mod state;

use std::cell::RefCell;
use std::fs;
use std::io;
use std::net::SocketAddrV4;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use ramp_transport::platform::Topic;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::platform::state::PlatformState;

/// Interval between checks whether a file has changed.
const FILE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Options of the simulated platform.
#[derive(Debug)]
pub struct Config {
    /// Address to listen on; port 0 lets the kernel choose one.
    pub listen: SocketAddrV4,
    /// File with the fleet document; an edit publishes a new version.
    pub fleet: PathBuf,
    /// File with the instance list; an edit publishes a new version.
    pub instances: PathBuf,
    /// File to write the bound address to once the port is open.
    pub ready_file: Option<PathBuf>,
    /// Version of the texts that the files hold at the start.
    pub first_version: u64,
}

/// State shared by all connections.
type Shared = Rc<RefCell<PlatformState>>;

/// Serves requests until an error occurs or the process exits.
pub async fn serve(config: Config) -> io::Result<()> {
    let fleet = fs::read_to_string(&config.fleet)?;
    let instances = fs::read_to_string(&config.instances)?;
    let first = config.first_version;
    let state = PlatformState::new(first, fleet.clone(), instances.clone());
    let shared: Shared = Rc::new(RefCell::new(state));
    let listener = TcpListener::bind(config.listen).await?;
    if let Some(path) = &config.ready_file {
        write_atomically(path, &listener.local_addr()?.to_string())?;
    }
    tokio::task::spawn_local(publish_edits(
        shared.clone(),
        Topic::Fleet,
        config.fleet,
        fleet,
    ));
    tokio::task::spawn_local(publish_edits(
        shared.clone(),
        Topic::Instances,
        config.instances,
        instances,
    ));
    loop {
        let (stream, _) = listener.accept().await?;
        tokio::task::spawn_local(serve_connection(shared.clone(), stream));
    }
}

async fn serve_connection(shared: Shared, stream: TcpStream) {
    let service = service_fn(move |req| service::handle_request(shared.clone(), req));
    // Errors are expected: the client closed the connection, or the platform is
    // down and `NoResponse` closes it.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Polls a file and publishes its text whenever it differs from `published`, the
/// text published last.
async fn publish_edits(shared: Shared, topic: Topic, path: PathBuf, mut published: String) {
    let mut last_read = published.clone();
    loop {
        tokio::time::sleep(FILE_POLL_INTERVAL).await;
        // The file may be missing for a moment while an editor replaces it.
        let Ok(text) = fs::read_to_string(&path) else {
            continue;
        };
        // A read may catch a file that is only partly written, so the text is
        // published only once two reads in a row agree.
        if text == last_read && text != published {
            published.clone_from(&text);
            shared.borrow_mut().publish(topic, text);
        } else {
            last_read = text;
        }
    }
}

/// Writes a file through a rename, so that no reader sees it partly written.
fn write_atomically(path: &Path, text: &str) -> io::Result<()> {
    let mut part = path.as_os_str().to_owned();
    part.push(".part");
    fs::write(&part, text)?;
    fs::rename(&part, path)
}
