//! The texts of a demo: fleet document, instance list and settings.

use std::fmt::Write;

use crate::demo::layout::Layout;
use crate::demo::layout::Node;
use crate::demo::plan::Plan;

/// Key of the demo's fleet; a real one is secret.
const KEY: &str = "000102030405060708090a0b0c0d0e0f";

/// What operators want at a moment.
#[derive(Clone, Debug, Default)]
pub struct DesiredState {
    /// Data centre that is out.
    pub data_centre_out: Option<String>,
    /// Backend server that is leaving.
    pub leaving_server: Option<String>,
    /// Balancers that are leaving.
    pub leaving_balancers: Vec<String>,
    /// Balancers that are not listed.
    pub unlisted_balancers: Vec<String>,
}

/// The fleet document.
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
    // Uploads are timed to their end, which takes longer than an answer.
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

/// The list of instances.
pub fn instances(layout: &Layout, desired: &DesiredState) -> String {
    let mut text = String::new();
    for balancer in &layout.balancers {
        if desired.unlisted_balancers.contains(&balancer.name) {
            continue;
        }
        let out = desired.data_centre_out.as_deref() == Some(balancer.data_centre);
        let leaving = out || desired.leaving_balancers.contains(&balancer.name);
        instance(&mut text, balancer, "balancer", leaving);
    }
    for server in &layout.servers {
        instance(&mut text, &server.agent, "agent", false);
    }
    text
}

fn instance(text: &mut String, node: &Node, role: &str, leaving: bool) {
    let state = if leaving { "leaving" } else { "live" };
    let _ = writeln!(
        text,
        "[instance {}]\nrole={role}\ndata_centre={}\naddress={}\ncontrol={}\nstate={state}\n",
        node.name, node.data_centre, node.listed_address, node.listed_control,
    );
}

/// Settings of a balancer or an agent.
pub fn settings(layout: &Layout, node: &Node) -> String {
    // Agents tell where they stand by the fleet document, so that none is
    // asked whose data centre is out.
    let peers: Vec<String> = layout
        .servers
        .iter()
        .map(|server| &server.agent)
        .filter(|peer| peer.name != node.name)
        .map(|peer| peer.listed_control.to_string())
        .collect();
    let mut text = format!(
        "[instance]\nname={}\ndata_centre={}\naddress={}\ncontrol={}\nmetrics={}\nkey={KEY}\n\n\
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
