//! Allocates the addresses of a demo's processes.
//!
//! Each process has a loopback address of its own, with ports that the kernel
//! assigned. The third part of the address is the number of its data centre, by
//! which the relay distinguishes data centres; it is 0 for the processes outside
//! of them, such as the platform.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::UdpSocket;

use crate::demo::plan::Plan;

/// Last part of the first balancer's address. Agents count from 1, balancers from
/// here and backend servers from [`FIRST_BACKEND_HOST`], so that none overlap.
const FIRST_BALANCER_HOST: u8 = 100;
const FIRST_BACKEND_HOST: u8 = 200;

/// Attempts to find a port that is free for both UDP and TCP.
const MAX_PORT_ATTEMPTS: u32 = 100;

/// Addresses of a balancer or an agent.
#[derive(Clone, Debug)]
pub struct Node {
    /// Instance name; an agent has the name of its backend server.
    pub name: String,
    /// Name of the data centre that it runs in.
    pub data_centre: &'static str,
    /// Where it listens for packets.
    pub address: SocketAddrV4,
    /// Where it listens for control messages and operator calls.
    pub control: SocketAddrV4,
    /// Where it serves its metrics.
    pub metrics: SocketAddrV4,
    /// Where others send packets for it. This is an address of the relay, except
    /// for balancers, which get packets straight from the fabric.
    pub listed_address: SocketAddrV4,
    /// Where others send control messages for it: an address of the relay.
    pub listed_control: SocketAddrV4,
}

/// A backend server and its agent.
#[derive(Clone, Debug)]
pub struct Server {
    /// Name of the service that it belongs to.
    pub service: &'static str,
    /// The agent beside the backend server.
    pub agent: Node,
    /// Where the backend server listens for requests.
    pub backend: SocketAddrV4,
}

/// All addresses of a demo.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Where the simulated platform listens.
    pub platform: SocketAddrV4,
    /// Where the fabric listens for packets from agents.
    pub fabric_packets: SocketAddrV4,
    /// Where the fabric serves its packet counts.
    pub fabric_counts: SocketAddrV4,
    /// HTTP port of the relay, which takes `PUT /cuts`.
    pub relay_control: SocketAddrV4,
    /// Balancers; the last is the one that joins later.
    pub balancers: Vec<Node>,
    /// Backend servers with their agents.
    pub servers: Vec<Server>,
}

impl Layout {
    /// Allocates addresses for each process of the plan.
    ///
    /// # Errors
    ///
    /// When no free port is found.
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
            let mut node = node(
                plan,
                &mut ports,
                name,
                number,
                FIRST_BALANCER_HOST + number as u8,
            )?;
            node.listed_address = node.address;
            layout.balancers.push(node);
        }
        for service in &plan.services {
            for number in 0..service.servers {
                let name = format!("{}-{}", service.name, number + 1);
                let index = layout.servers.len() as u8;
                layout.servers.push(Server {
                    service: service.name,
                    agent: node(plan, &mut ports, name, number, 1 + index)?,
                    backend: ports
                        .free(host(data_centre_number(number), FIRST_BACKEND_HOST + index))?,
                });
            }
        }
        Ok(layout)
    }

    /// All balancers, then all agents.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        let agents = self.servers.iter().map(|server| &server.agent);
        self.balancers.iter().chain(agents)
    }
}

fn node(plan: &Plan, ports: &mut Ports, name: String, number: usize, last: u8) -> io::Result<Node> {
    let data_centre = data_centre_number(number);
    let ip = host(data_centre, last);
    Ok(Node {
        name,
        data_centre: plan.data_centres[usize::from(data_centre) - 1],
        address: ports.free(ip)?,
        control: ports.free(ip)?,
        metrics: ports.free(ip)?,
        listed_address: ports.free(ip)?,
        listed_control: ports.free(ip)?,
    })
}

/// Number of the data centre, from 1, for a balancer or a service's server with
/// this number: they are spread round-robin.
fn data_centre_number(number: usize) -> u8 {
    (number % 3) as u8 + 1
}

fn host(data_centre: u8, last: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 20, data_centre, last)
}

/// Allocates ports. Their sockets stay open until all ports are allocated, since
/// the kernel may assign a port again once it is closed.
#[derive(Default)]
struct Ports {
    sockets: Vec<(UdpSocket, TcpListener)>,
}

impl Ports {
    /// Address on `ip` with a port that is free for both UDP and TCP.
    fn free(&mut self, ip: Ipv4Addr) -> io::Result<SocketAddrV4> {
        for _ in 0..MAX_PORT_ATTEMPTS {
            let udp = UdpSocket::bind((ip, 0))?;
            let port = udp.local_addr()?.port();
            if let Ok(tcp) = TcpListener::bind((ip, port)) {
                self.sockets.push((udp, tcp));
                return Ok(SocketAddrV4::new(ip, port));
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }
}
