//! Where each process of a demo stands: a loopback address of its own, and
//! ports that the kernel gave.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::UdpSocket;

use crate::demo::plan::Plan;

/// Last part of the addresses of balancers and backend servers.
const BALANCER_HOST: u8 = 100;
const BACKEND_HOST: u8 = 200;

/// Attempts at a port that is free for UDP and TCP.
const PORT_ATTEMPTS: u32 = 100;

/// A balancer or an agent.
#[derive(Clone, Debug)]
pub struct Node {
    /// Its name; an agent has that of its backend server.
    pub name: String,
    /// Its data centre.
    pub data_centre: &'static str,
    /// Where it takes packets.
    pub address: SocketAddrV4,
    /// Where it takes control messages and operator calls.
    pub control: SocketAddrV4,
    /// Where it shows its metrics.
    pub metrics: SocketAddrV4,
    /// Where others send it packets: the relay's, but for balancers, whose
    /// packets come from the fabric.
    pub listed_address: SocketAddrV4,
    /// Where others send it control messages: the relay's.
    pub listed_control: SocketAddrV4,
}

/// A backend server and its agent.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its service.
    pub service: &'static str,
    /// The agent.
    pub agent: Node,
    /// The backend server itself.
    pub backend: SocketAddrV4,
}

/// All addresses of a demo.
#[derive(Clone, Debug)]
pub struct Layout {
    /// The platform.
    pub platform: SocketAddrV4,
    /// Where the fabric takes packets from agents.
    pub fabric_packets: SocketAddrV4,
    /// Where the fabric shows its counts.
    pub fabric_counts: SocketAddrV4,
    /// Where the relay takes cuts.
    pub relay_control: SocketAddrV4,
    /// Balancers; the last is the one that joins later.
    pub balancers: Vec<Node>,
    /// Backend servers with their agents.
    pub servers: Vec<Server>,
}

impl Layout {
    /// Picks an address for each process of the plan.
    ///
    /// # Errors
    ///
    /// When the kernel gives no port.
    pub fn allocate(plan: &Plan) -> io::Result<Layout> {
        let mut ports = Ports::default();
        let mut layout = Layout {
            platform: ports.free(host(0, 1))?,
            fabric_packets: ports.free(host(0, 2))?,
            fabric_counts: ports.free(host(0, 2))?,
            relay_control: ports.free(host(0, 3))?,
            balancers: Vec::new(),
            servers: Vec::new(),
        };
        for number in 0..=plan.balancers {
            let name = format!("balancer-{}", number + 1);
            let mut node = node(plan, &mut ports, name, number, BALANCER_HOST + number as u8)?;
            node.listed_address = node.address;
            layout.balancers.push(node);
        }
        for service in &plan.services {
            for number in 0..service.servers {
                let name = format!("{}-{}", service.name, number + 1);
                let place = layout.servers.len() as u8;
                layout.servers.push(Server {
                    service: service.name,
                    agent: node(plan, &mut ports, name, number, 1 + place)?,
                    backend: ports.free(host(data_centre(number), BACKEND_HOST + place))?,
                });
            }
        }
        Ok(layout)
    }

    /// Agents and balancers.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        let agents = self.servers.iter().map(|server| &server.agent);
        self.balancers.iter().chain(agents)
    }
}

fn node(plan: &Plan, ports: &mut Ports, name: String, number: usize, last: u8) -> io::Result<Node> {
    let place = data_centre(number);
    let ip = host(place, last);
    Ok(Node {
        name,
        data_centre: plan.data_centres[usize::from(place) - 1],
        address: ports.free(ip)?,
        control: ports.free(ip)?,
        metrics: ports.free(ip)?,
        listed_address: ports.free(ip)?,
        listed_control: ports.free(ip)?,
    })
}

/// Data centre of a service's server by its number, from 1.
fn data_centre(number: usize) -> u8 {
    (number % 3) as u8 + 1
}

fn host(data_centre: u8, last: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 20, data_centre, last)
}

/// Ports given by the kernel. They are held until all are picked, since a port
/// that was let go may be given again.
#[derive(Default)]
struct Ports {
    held: Vec<(UdpSocket, TcpListener)>,
}

impl Ports {
    /// A port that is free for UDP and TCP.
    fn free(&mut self, ip: Ipv4Addr) -> io::Result<SocketAddrV4> {
        for _ in 0..PORT_ATTEMPTS {
            let udp = UdpSocket::bind((ip, 0))?;
            let port = udp.local_addr()?.port();
            if let Ok(tcp) = TcpListener::bind((ip, port)) {
                self.held.push((udp, tcp));
                return Ok(SocketAddrV4::new(ip, port));
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }
}
