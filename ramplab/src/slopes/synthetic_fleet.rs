//! Generates fleet documents of any size, and defines the target fleet: the size
//! that the fleet is expected to reach, at which the costs are estimated.

use std::fmt::Write;
use std::net::Ipv4Addr;

use ramp_state::fleet::Fleet;
use ramp_state::key::Version;

/// Services of the target fleet; the servers of each form one group.
pub const TARGET_GROUP_COUNT: usize = 340;

/// Members of a group in the target fleet, rounded down.
pub const TARGET_MEMBER_COUNT: usize = 12;

/// Backend servers of the target fleet.
pub const TARGET_SERVER_COUNT: usize = 4_200;

/// Balancers of the target fleet.
pub const TARGET_BALANCER_COUNT: usize = 660;

/// Data centres of the target fleet.
const DATA_CENTRE_COUNT: usize = 8;

/// Text of a fleet document with `groups` services of `members` servers each.
pub fn document_text(groups: usize, members: usize) -> String {
    let mut text = String::from("[defaults]\nslots = 5\nconnections = 100000\n");
    for dc in 0..DATA_CENTRE_COUNT {
        let _ = write!(
            text,
            "[data-centre dc{dc}]\nregion = r{}\nstate = in\n",
            dc % 3
        );
    }
    for group in 0..groups {
        let address = Ipv4Addr::from(0x0a50_0000 + group as u32);
        let _ = write!(text, "[service s{group}]\naddress = {address}:80\n");
        for member in 0..members {
            write_server(&mut text, group, member, groups);
        }
    }
    text
}

/// Parsed fleet of that document.
pub fn fleet(groups: usize, members: usize) -> Fleet {
    Fleet::parse(Version(1), &document_text(groups, members)).expect("the text is well-formed")
}

fn write_server(text: &mut String, group: usize, member: usize, groups: usize) {
    let number = member * groups + group;
    let address = Ipv4Addr::from(0x7f40_0000 + number as u32);
    let _ = write!(
        text,
        "[server s{group}-{member}]\nservice = s{group}\ndata_centre = dc{}\n\
         agent = {address}:7000\ncontrol = {address}:7001\nstate = in\n",
        number % DATA_CENTRE_COUNT
    );
}
