//! Writes the configuration of a demo: the fleet document and the instance list
//! that the simulated platform publishes, and the settings file of each balancer
//! and agent.

use std::fmt::Write;

use crate::demo::layout::Layout;
use crate::demo::layout::Node;
use crate::demo::plan::Plan;

/// Fleet key for authenticating control messages, in hexadecimal. A real fleet
/// keeps its key secret.
const FLEET_KEY: &str = "000102030405060708090a0b0c0d0e0f";

/// State of the fleet that the operators have asked for, apart from its fixed
/// layout.
#[derive(Clone, Debug, Default)]
pub struct DesiredState {
    /// Data centre that is taken out of service.
    pub data_centre_out: Option<String>,
    /// Backend server that is being drained.
    pub leaving_server: Option<String>,
    /// Balancers that are listed as leaving.
    pub leaving_balancers: Vec<String>,
    /// Balancers missing from the instance list: not started yet or removed.
    pub unlisted_balancers: Vec<String>,
}

/// Text of the fleet document.
pub fn fleet(plan: &Plan, layout: &Layout, desired: &DesiredState) -> String {
    let mut text = format!(
        "[defaults]\nslots={}\nconnections={}\n\n",
        plan.slots, plan.connections
    );
    for name in plan.data_centres {
        let out = desired.data_centre_out.as_deref() == Some(name);
        let state = if out { "out" } else { "in" };
        let region = plan.region;
        let _ = writeln!(
            text,
            "[data-centre {name}]\nregion={region}\nstate={state}\n"
        );
    }
    for service in &plan.services {
        let _ = writeln!(
            text,
            "[service {}]\naddress={}\n",
            service.name, service.address
        );
    }
    // An upload's response time runs to the end of the upload, so uploads need a
    // longer objective than other requests.
    let uploads = plan.services[1].name;
    let _ = writeln!(
        text,
        "[exception large-uploads]\ncovers=service {uploads}\n\
         reason=scans and payroll files are large and take their time\n\
         answer_objective_ms=5000\n"
    );
    for server in &layout.servers {
        let Node {
            name,
            data_centre,
            listed_address: address,
            listed_control: control,
            ..
        } = &server.agent;
        let leaving = desired.leaving_server.as_ref() == Some(name);
        let state = if leaving { "leaving" } else { "in" };
        let service = server.service;
        let _ = writeln!(
            text,
            "[server {name}]\nservice={service}\ndata_centre={data_centre}\n\
             agent={address}\ncontrol={control}\nstate={state}\n"
        );
    }
    text
}

/// Text of the instance list.
pub fn instances(layout: &Layout, desired: &DesiredState) -> String {
    let mut text = String::new();
    for balancer in &layout.balancers {
        if desired.unlisted_balancers.contains(&balancer.name) {
            continue;
        }
        let out = desired.data_centre_out.as_deref() == Some(balancer.data_centre);
        let leaving = out || desired.leaving_balancers.contains(&balancer.name);
        write_instance(&mut text, balancer, "balancer", leaving);
    }
    for server in &layout.servers {
        write_instance(&mut text, &server.agent, "agent", false);
    }
    text
}

fn write_instance(text: &mut String, node: &Node, role: &str, leaving: bool) {
    let state = if leaving { "leaving" } else { "live" };
    let _ = writeln!(
        text,
        "[instance {}]\nrole={role}\ndata_centre={}\naddress={}\ncontrol={}\nstate={state}\n",
        node.name, node.data_centre, node.listed_address, node.listed_control,
    );
}

/// Text of the settings file of a balancer or an agent.
pub fn settings(layout: &Layout, node: &Node) -> String {
    // Only agents are listed as peers: the fleet document names their data
    // centres, so a process can leave out those whose data centre is out.
    let peers: Vec<String> = layout
        .servers
        .iter()
        .map(|server| &server.agent)
        .filter(|peer| peer.name != node.name)
        .map(|peer| peer.listed_control.to_string())
        .collect();
    let mut text = format!(
        "[instance]\nname={}\ndata_centre={}\naddress={}\ncontrol={}\nmetrics={}\nkey={FLEET_KEY}\n\n\
         [platform]\naddresses={}\n\n[peers]\ncontrol={}\n",
        node.name,
        node.data_centre,
        node.address,
        node.control,
        node.metrics,
        layout.platform,
        peers.join(", "),
    );
    let server = layout.servers.iter().find(|s| s.agent.name == node.name);
    if let Some(server) = server {
        let _ = write!(
            text,
            "\n[backend-server]\naddress={}\n\n[fabric]\naddress={}\n",
            server.backend, layout.fabric_packets
        );
    }
    text
}
