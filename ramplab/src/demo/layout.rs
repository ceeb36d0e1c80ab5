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
    pub packets: SocketAddrV4,
    /// Where the fabric shows its counts.
    pub counts: SocketAddrV4,
    /// Where the relay takes cuts.
    pub cuts: SocketAddrV4,
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
    pub fn pick(plan: &Plan) -> io::Result<Layout> {
        let mut layout = Layout {
            platform: free(host(0, 1))?,
            packets: free(host(0, 2))?,
            counts: free(host(0, 2))?,
            cuts: free(host(0, 3))?,
            balancers: Vec::new(),
            servers: Vec::new(),
        };
        for number in 0..=plan.balancers {
            let name = format!("balancer-{}", number + 1);
            let mut node = node(plan, name, number, BALANCER_HOST + number as u8)?;
            node.listed_address = node.address;
            layout.balancers.push(node);
        }
        for service in &plan.services {
            for number in 0..service.servers {
                let name = format!("{}-{}", service.name, number + 1);
                let place = layout.servers.len() as u8;
                layout.servers.push(Server {
                    service: service.name,
                    agent: node(plan, name, number, 1 + place)?,
                    backend: free(host(data_centre(number), BACKEND_HOST + place))?,
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

fn node(plan: &Plan, name: String, number: usize, last: u8) -> io::Result<Node> {
    let place = data_centre(number);
    let ip = host(place, last);
    Ok(Node {
        name,
        data_centre: plan.data_centres[usize::from(place) - 1],
        address: free(ip)?,
        control: free(ip)?,
        metrics: free(ip)?,
        listed_address: free(ip)?,
        listed_control: free(ip)?,
    })
}

/// Data centre of a service's server by its number, from 1.
fn data_centre(number: usize) -> u8 {
    (number % 3) as u8 + 1
}

fn host(data_centre: u8, last: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 20, data_centre, last)
}

/// A port that is free for UDP and TCP. Nothing else uses these addresses, so
/// it stays free until the process takes it.
fn free(ip: Ipv4Addr) -> io::Result<SocketAddrV4> {
    for _ in 0..PORT_ATTEMPTS {
        let port = UdpSocket::bind((ip, 0))?.local_addr()?.port();
        if TcpListener::bind((ip, port)).is_ok() {
            return Ok(SocketAddrV4::new(ip, port));
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
