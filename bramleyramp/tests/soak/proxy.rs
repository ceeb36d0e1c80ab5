//! TCP proxy on loopback that delays, drops or closes the connections of one process,
//! and limits their rate.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Read timeout, after which the mode is checked again.
const MODE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

const BYTES_PER_S_IN_MBPS: f64 = 125_000.0;

/// What the proxy does with data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Pass,
    /// Delays each read by this many milliseconds.
    Delay(u64),
    /// Drops data from the target.
    DropReplies,
    /// Drops data in both directions.
    DropAll,
    /// Closes open connections and refuses new ones.
    Disconnect,
}

/// Sets the mode of all connections of one process to one kind of target. They share
/// the rate of the process's link.
#[derive(Clone)]
pub struct Switch {
    mode: Arc<Mutex<Mode>>,
    link: Option<Arc<Link>>,
}

impl Switch {
    /// A switch for a link of this rate, or for one without a limit.
    pub fn new(link_mbps: Option<u64>) -> Switch {
        Switch {
            mode: Arc::new(Mutex::new(Mode::Pass)),
            link: link_mbps.map(|rate| Arc::new(Link::new(rate))),
        }
    }

    pub fn set(&self, mode: Mode) {
        *self.mode.lock().unwrap() = mode;
    }

    fn mode(&self) -> Mode {
        *self.mode.lock().unwrap()
    }

    /// Waits until the link has carried the data.
    fn carry(&self, is_reply: bool, bytes: usize) {
        if let Some(link) = &self.link {
            thread::sleep(link.reserve(is_reply, bytes));
        }
    }
}

/// A link with a limited rate in each direction.
struct Link {
    bytes_per_s: f64,
    /// When each direction has carried all data so far.
    free_at: [Mutex<Instant>; 2],
}

impl Link {
    fn new(mbps: u64) -> Link {
        Link {
            bytes_per_s: mbps as f64 * BYTES_PER_S_IN_MBPS,
            free_at: [Mutex::new(Instant::now()), Mutex::new(Instant::now())],
        }
    }

    /// Time until the link has carried the data after all earlier data.
    fn reserve(&self, is_reply: bool, bytes: usize) -> Duration {
        let now = Instant::now();
        let mut free_at = self.free_at[usize::from(is_reply)].lock().unwrap();
        *free_at = now.max(*free_at) + Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        *free_at - now
    }
}

/// Starts a proxy to `target` and returns its address.
pub fn start(target: SocketAddrV4, switch: &Switch) -> SocketAddrV4 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else {
        unreachable!("bound to IPv4")
    };
    let switch = switch.clone();
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            if switch.mode() == Mode::Disconnect {
                continue;
            }
            // If the target is down, the proxy closes the connection too.
            let Ok(server) = TcpStream::connect(target) else {
                continue;
            };
            forward(&client, &server, &switch, false);
            forward(&server, &client, &switch, true);
        }
    });
    address
}

/// Starts a thread that forwards data in one direction until either end closes.
/// `is_reply` is true for data from the target.
fn forward(from: &TcpStream, to: &TcpStream, switch: &Switch, is_reply: bool) {
    let (mut from, mut to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
    let switch = switch.clone();
    from.set_read_timeout(Some(MODE_CHECK_INTERVAL)).unwrap();
    thread::spawn(move || {
        let mut buf = [0; 16 << 10];
        loop {
            let len = match from.read(&mut buf) {
                Ok(0) => break,
                Ok(len) => len,
                Err(err) if err.kind() == std::io::ErrorKind::WouldBlock => 0,
                Err(_) => break,
            };
            let passes = match switch.mode() {
                Mode::Disconnect => break,
                Mode::DropAll => false,
                Mode::DropReplies => !is_reply,
                Mode::Delay(ms) if len > 0 => {
                    thread::sleep(Duration::from_millis(ms));
                    true
                }
                Mode::Delay(_) | Mode::Pass => true,
            };
            if len > 0 && !passes {
                // The stream can't continue after lost data, so drop the rest.
                while from.read(&mut buf).is_ok_and(|len| len > 0) {}
                break;
            }
            switch.carry(is_reply, len);
            if to.write_all(&buf[..len]).is_err() {
                break;
            }
        }
        // Fails if an end is already closed.
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    });
}
