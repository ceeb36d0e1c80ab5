//! The demo's documents, parsed as `bramleyramp` parses them, and its timeline and
//! addresses.

use std::collections::HashSet;
use std::time::Duration;

use ramp_state::fleet::DataCentreState;
use ramp_state::fleet::Fleet;
use ramp_state::fleet::ServerState;
use ramp_state::instances::InstanceList;
use ramp_state::instances::InstanceState;
use ramp_state::instances::Role;
use ramp_state::key::Version;
use ramp_state::settings::Settings;
use ramplab::demo::documents;
use ramplab::demo::documents::DesiredState;
use ramplab::demo::layout::Layout;
use ramplab::demo::layout::Node;
use ramplab::demo::plan::Plan;
use ramplab::demo::plan::Timeline;

#[test]
fn the_documents_are_valid_for_both_users() {
    for plan in [Plan::quillfield(), Plan::helvetia()] {
        let layout = Layout::allocate(&plan).unwrap();
        let desired = DesiredState::default();
        let fleet = Fleet::parse(Version(1), &documents::fleet(&plan, &layout, &desired)).unwrap();
        assert_eq!(fleet.servers.len(), 10);
        assert_eq!(
            (fleet.defaults.slots, fleet.defaults.connections),
            (plan.slots, 2000)
        );
        let text = documents::instances(&layout, &desired);
        let list = InstanceList::parse(Version(1), &text).unwrap();
        assert_eq!(list.instances.len(), 14);
        for node in layout.nodes() {
            let agent = layout.servers.iter().any(|s| s.agent.name == node.name);
            let role = if agent { Role::Agent } else { Role::Balancer };
            let settings = Settings::parse(&documents::settings(&layout, node), role).unwrap();
            assert_eq!(
                (settings.name, settings.agent.is_some()),
                (node.name.clone(), agent)
            );
        }
    }
}

#[test]
fn the_documents_say_what_operators_want() {
    let plan = Plan::quillfield();
    let layout = Layout::allocate(&plan).unwrap();
    let desired = DesiredState {
        data_centre_out: Some("hartford".to_string()),
        leaving_server: Some("ledger-1".to_string()),
        leaving_balancers: vec!["balancer-1".to_string()],
        unlisted_balancers: vec!["balancer-4".to_string()],
    };
    let fleet = Fleet::parse(Version(2), &documents::fleet(&plan, &layout, &desired)).unwrap();
    let data_centres_out: Vec<_> = fleet
        .data_centres
        .iter()
        .filter(|(_, d)| d.state == DataCentreState::Out)
        .map(|(name, _)| name.as_str())
        .collect();
    assert_eq!(data_centres_out, ["hartford"]);
    assert_eq!(fleet.servers["ledger-1"].state, ServerState::Leaving);
    let text = documents::instances(&layout, &desired);
    let list = InstanceList::parse(Version(2), &text).unwrap();
    let leaving: Vec<_> = list
        .instances
        .iter()
        .filter(|(_, i)| i.state == InstanceState::Leaving)
        .map(|(name, _)| name.as_str())
        .collect();
    // The second balancer is in the data centre that is out.
    assert_eq!(leaving, ["balancer-1", "balancer-2"]);
    assert!(!list.instances.contains_key("balancer-4"));
}

#[test]
fn the_changes_come_in_order_within_the_load() {
    let t = Timeline::for_load(Duration::from_secs(25));
    let times = [
        t.open_feeds,
        t.take_data_centre_out,
        t.bring_data_centre_back,
        t.drain_server,
        t.replace_balancer,
        t.end,
    ];
    assert!(times.is_sorted());
    // The data centre must be out for longer than the change may take to be in force
    // everywhere.
    assert!(
        t.bring_data_centre_back - t.take_data_centre_out
            > Duration::from_millis(ramplab::check::PROPAGATION_LIMIT_MS)
    );
    assert!(t.end - t.drain_server > Duration::from_millis(ramplab::check::PROPAGATION_LIMIT_MS));
}

#[test]
fn no_two_addresses_of_a_layout_are_the_same() {
    for _ in 0..200 {
        let layout = Layout::allocate(&Plan::quillfield()).unwrap();
        let node_addresses = |n: &Node| [n.control, n.metrics, n.listed_control, n.address];
        let nodes = layout.nodes().flat_map(node_addresses);
        let backends = layout.servers.iter().map(|server| server.backend);
        let others = [
            layout.platform,
            layout.fabric_packets,
            layout.fabric_counts,
            layout.relay_control,
        ];
        let all: Vec<_> = nodes.chain(backends).chain(others).collect();
        let distinct: HashSet<_> = all.iter().collect();
        assert_eq!(distinct.len(), all.len());
    }
}
