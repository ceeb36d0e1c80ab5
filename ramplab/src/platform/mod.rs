//! The stand-in for the platform: an HTTP server with two published texts.

mod publication;
mod service;

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

use crate::platform::publication::Publication;

/// Time between two looks at the files.
const FILE_POLL: Duration = Duration::from_millis(100);

/// How to run the stand-in.
#[derive(Debug)]
pub struct Config {
    /// Where to listen.
    pub listen: SocketAddrV4,
    /// File with the fleet document.
    pub fleet: PathBuf,
    /// File with the list of instances.
    pub instances: PathBuf,
    /// File that gets the bound address.
    pub ready_file: Option<PathBuf>,
    /// Version of the first texts.
    pub first_version: u64,
}

type Shared = Rc<RefCell<Publication>>;

/// Serves until the process is ended.
pub async fn serve(config: Config) -> io::Result<()> {
    let fleet = fs::read_to_string(&config.fleet)?;
    let instances = fs::read_to_string(&config.instances)?;
    let first = config.first_version;
    let publication = Publication::new(first, fleet.clone(), instances.clone());
    let shared: Shared = Rc::new(RefCell::new(publication));
    let listener = TcpListener::bind(config.listen).await?;
    if let Some(path) = &config.ready_file {
        write_whole(path, &listener.local_addr()?.to_string())?;
    }
    tokio::task::spawn_local(watch(shared.clone(), Topic::Fleet, config.fleet, fleet));
    tokio::task::spawn_local(watch(
        shared.clone(),
        Topic::Instances,
        config.instances,
        instances,
    ));
    loop {
        let (stream, _) = listener.accept().await?;
        tokio::task::spawn_local(connection(shared.clone(), stream));
    }
}

async fn connection(shared: Shared, stream: TcpStream) {
    let service = service_fn(move |req| service::answer(shared.clone(), req));
    // An error here is a caller that left, or an answer withheld on purpose.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Publishes the file's text whenever it differs from `published`.
async fn watch(shared: Shared, topic: Topic, path: PathBuf, mut published: String) {
    let mut seen = published.clone();
    loop {
        tokio::time::sleep(FILE_POLL).await;
        // An editor may be replacing the file just now.
        let Ok(text) = fs::read_to_string(&path) else {
            continue;
        };
        // Half a text may be read while it is written, but not twice alike.
        if text == seen && text != published {
            published.clone_from(&text);
            shared.borrow_mut().publish(topic, text);
        } else {
            seen = text;
        }
    }
}

/// Writes a file so that nobody reads half of it.
fn write_whole(path: &Path, text: &str) -> io::Result<()> {
    let mut part = path.as_os_str().to_owned();
    part.push(".part");
    fs::write(&part, text)?;
    fs::rename(&part, path)
}
