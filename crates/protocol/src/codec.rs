//! Encodes control messages with Cap'n Proto, one [`Envelope`] in each datagram,
//! and decodes them.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use capnp::message::Builder;
use capnp::message::ReaderOptions;
use capnp::serialize;
use quick_error::quick_error;
use ramp_state::key::FlowKey;
use ramp_state::key::Incarnation;
use ramp_state::key::InstanceId;
use ramp_state::key::ServiceId;
use ramp_state::key::Version;

use crate::control_capnp as wire;
use crate::control_capnp::control::Which;
use crate::message::ClaimKey;
use crate::message::Delta;
use crate::message::Envelope;
use crate::message::KeyStatus;
use crate::message::Load;
use crate::message::Message;
use crate::message::Ownership;
use crate::message::Section;
use crate::message::Warmth;

quick_error! {
    /// Why a datagram is not a control message.
    #[derive(Debug)]
    pub enum CodecError {
        /// Not a well-formed Cap'n Proto message.
        Malformed(err: capnp::Error) {
            display("malformed control message: {}", err)
            from()
        }
        /// A message kind or enum value that the schema of this program lacks.
        Unknown(err: capnp::NotInSchema) {
            display("unknown kind of control message: {}", err)
            from()
        }
        /// A text field is not UTF-8.
        Text(err: std::str::Utf8Error) {
            display("text in a control message is not UTF-8: {}", err)
            from()
        }
    }
}

/// Maximum number of words of 8 bytes that are read of one message. A small
/// message whose pointers overlap could otherwise make the reader process a huge
/// one.
const TRAVERSAL_LIMIT_WORDS: usize = 64 * 1024;

/// Maximum depth of nested structs and lists in a message.
const NESTING_LIMIT: i32 = 8;

/// Encodes `envelope` as the payload of one datagram.
pub fn encode(envelope: &Envelope) -> Vec<u8> {
    let mut builder = Builder::new_default();
    let mut root = builder.init_root::<wire::control::Builder<'_>>();
    root.set_sender(envelope.sender.0);
    root.set_incarnation(envelope.incarnation.0);
    root.set_sequence(envelope.sequence);
    write_message(root, &envelope.message);
    serialize::write_message_to_words(&builder)
}

/// Decodes the payload of one datagram.
///
/// # Errors
///
/// [`CodecError`] if `buf` is not a control message that this program knows.
pub fn decode(buf: &[u8]) -> Result<Envelope, CodecError> {
    let mut options = ReaderOptions::new();
    options
        .traversal_limit_in_words(Some(TRAVERSAL_LIMIT_WORDS))
        .nesting_limit(NESTING_LIMIT);
    let reader = serialize::read_message(buf, options)?;
    let root = reader.get_root::<wire::control::Reader<'_>>()?;
    Ok(Envelope {
        sender: InstanceId(root.get_sender()),
        incarnation: Incarnation(root.get_incarnation()),
        sequence: root.get_sequence(),
        message: read_message(root)?,
    })
}

fn write_message(mut root: wire::control::Builder<'_>, message: &Message) {
    match message {
        Message::Heartbeat { config, load } => {
            let mut m = root.init_heartbeat();
            m.set_config(config.0);
            write_load(m.init_load(), load);
        }
        Message::Digest {
            service,
            config,
            dead,
        } => {
            let mut m = root.init_digest();
            m.set_service(service.0);
            m.set_config(config.0);
            let mut list = m.init_dead(dead.len() as u32);
            for (i, id) in dead.iter().enumerate() {
                list.set(i as u32, id.0);
            }
        }
        Message::OwnerQuery { key, ack } => {
            let mut m = root.init_who_owns();
            m.set_ack(*ack);
            write_key(m.init_key(), key);
        }
        Message::OwnerReply { key, answer } => {
            let mut m = root.init_owner_is();
            m.set_answer(match answer {
                Ownership::Owner => wire::Answer::Owns,
                Ownership::NotOwner => wire::Answer::NotMine,
            });
            write_key(m.init_key(), key);
        }
        Message::Register { flows } => {
            write_flows(root.init_register().init_flows(flows.len() as u32), flows);
        }
        Message::Release { flows } => {
            write_flows(root.init_release().init_flows(flows.len() as u32), flows);
        }
        Message::VersionRequest => root.set_ask_version(()),
        Message::Announce { config } => root.init_announce().set_config(config.0),
        Message::DeltaRequest { have } => root.init_ask_delta().set_have(have.0),
        Message::Delta(delta) => write_delta(root.init_delta(), delta),
        Message::Claim { key, attempt } => {
            let mut m = root.init_claim();
            m.set_attempt(*attempt);
            write_claim_key(m.init_key(), *key);
        }
        Message::ClaimReply {
            key,
            attempt,
            status,
        } => {
            let mut m = root.init_claim_is();
            m.set_attempt(*attempt);
            m.set_standing(write_key_status(*status));
            write_claim_key(m.init_key(), *key);
        }
        Message::ClaimOutcome {
            key,
            attempt,
            status,
        } => {
            let mut m = root.init_settle();
            m.set_attempt(*attempt);
            m.set_standing(write_key_status(*status));
            write_claim_key(m.init_key(), *key);
        }
    }
}

fn read_message(root: wire::control::Reader<'_>) -> Result<Message, CodecError> {
    let message = match root.which()? {
        Which::Heartbeat(m) => Message::Heartbeat {
            config: Version(m.get_config()),
            load: read_load(m.get_load()?)?,
        },
        Which::Digest(m) => Message::Digest {
            service: ServiceId(m.get_service()),
            config: Version(m.get_config()),
            dead: m.get_dead()?.iter().map(InstanceId).collect(),
        },
        Which::WhoOwns(m) => Message::OwnerQuery {
            key: read_key(m.get_key()?),
            ack: m.get_ack(),
        },
        Which::OwnerIs(m) => Message::OwnerReply {
            key: read_key(m.get_key()?),
            answer: match m.get_answer()? {
                wire::Answer::Owns => Ownership::Owner,
                wire::Answer::NotMine => Ownership::NotOwner,
            },
        },
        Which::Register(m) => Message::Register {
            flows: m.get_flows()?.iter().map(read_key).collect(),
        },
        Which::Release(m) => Message::Release {
            flows: m.get_flows()?.iter().map(read_key).collect(),
        },
        Which::AskVersion(()) => Message::VersionRequest,
        Which::Announce(m) => Message::Announce {
            config: Version(m.get_config()),
        },
        Which::AskDelta(m) => Message::DeltaRequest {
            have: Version(m.get_have()),
        },
        Which::Delta(m) => Message::Delta(read_delta(m)?),
        Which::Claim(m) => Message::Claim {
            key: read_claim_key(m.get_key()?),
            attempt: m.get_attempt(),
        },
        Which::ClaimIs(m) => Message::ClaimReply {
            key: read_claim_key(m.get_key()?),
            attempt: m.get_attempt(),
            status: read_key_status(m.get_standing()?),
        },
        Which::Settle(m) => Message::ClaimOutcome {
            key: read_claim_key(m.get_key()?),
            attempt: m.get_attempt(),
            status: read_key_status(m.get_standing()?),
        },
    };
    Ok(message)
}

fn write_load(mut m: wire::load::Builder<'_>, load: &Load) {
    m.set_flows(load.flows);
    m.set_in_progress(load.in_progress);
    m.set_waiting(load.waiting);
    m.set_slots(load.slots);
    m.set_leaving(load.leaving);
    m.set_warmth(match load.warmth {
        Warmth::Cold => wire::Warmth::Cold,
        Warmth::Warming => wire::Warmth::Warming,
        Warmth::Warm => wire::Warmth::Warm,
    });
}

fn read_load(m: wire::load::Reader<'_>) -> Result<Load, CodecError> {
    Ok(Load {
        flows: m.get_flows(),
        in_progress: m.get_in_progress(),
        waiting: m.get_waiting(),
        slots: m.get_slots(),
        leaving: m.get_leaving(),
        warmth: match m.get_warmth()? {
            wire::Warmth::Cold => Warmth::Cold,
            wire::Warmth::Warming => Warmth::Warming,
            wire::Warmth::Warm => Warmth::Warm,
        },
    })
}

fn write_flows(
    mut list: capnp::struct_list::Builder<'_, wire::flow_key::Owned>,
    flows: &[FlowKey],
) {
    for (i, key) in flows.iter().enumerate() {
        write_key(list.reborrow().get(i as u32), key);
    }
}

fn write_key(mut m: wire::flow_key::Builder<'_>, key: &FlowKey) {
    m.set_caller_ip(u32::from(*key.caller.ip()));
    m.set_caller_port(key.caller.port());
    m.set_service_ip(u32::from(*key.service.ip()));
    m.set_service_port(key.service.port());
}

fn read_key(m: wire::flow_key::Reader<'_>) -> FlowKey {
    FlowKey {
        caller: SocketAddrV4::new(Ipv4Addr::from(m.get_caller_ip()), m.get_caller_port()),
        service: SocketAddrV4::new(Ipv4Addr::from(m.get_service_ip()), m.get_service_port()),
    }
}

fn write_delta(mut m: wire::control::delta::Builder<'_>, delta: &Delta) {
    m.set_from(delta.from.0);
    m.set_to(delta.to.0);
    m.set_hash(delta.hash);
    let mut changed = m.reborrow().init_changed(delta.changed.len() as u32);
    for (i, section) in delta.changed.iter().enumerate() {
        let mut s = changed.reborrow().get(i as u32);
        s.set_name(&section.name);
        s.set_text(&section.text);
    }
    let mut removed = m.init_removed(delta.removed.len() as u32);
    for (i, name) in delta.removed.iter().enumerate() {
        removed.set(i as u32, name);
    }
}

fn read_delta(m: wire::control::delta::Reader<'_>) -> Result<Delta, CodecError> {
    let mut delta = Delta {
        from: Version(m.get_from()),
        to: Version(m.get_to()),
        hash: m.get_hash(),
        ..Delta::default()
    };
    for s in m.get_changed()? {
        delta.changed.push(Section {
            name: s.get_name()?.to_str()?.to_string(),
            text: s.get_text()?.to_str()?.to_string(),
        });
    }
    for name in m.get_removed()? {
        delta.removed.push(name?.to_str()?.to_string());
    }
    Ok(delta)
}

fn write_claim_key(mut m: wire::claim_key::Builder<'_>, key: ClaimKey) {
    m.set_high((key.0 >> u64::BITS) as u64);
    m.set_low(key.0 as u64);
}

fn read_claim_key(m: wire::claim_key::Reader<'_>) -> ClaimKey {
    ClaimKey(u128::from(m.get_high()) << u64::BITS | u128::from(m.get_low()))
}

fn write_key_status(status: KeyStatus) -> wire::Standing {
    match status {
        KeyStatus::Granted => wire::Standing::Granted,
        KeyStatus::Running => wire::Standing::Running,
        KeyStatus::Served => wire::Standing::Served,
        KeyStatus::MayHaveRun => wire::Standing::MayHaveRun,
        KeyStatus::Unknown => wire::Standing::Unknown,
    }
}

fn read_key_status(status: wire::Standing) -> KeyStatus {
    match status {
        wire::Standing::Granted => KeyStatus::Granted,
        wire::Standing::Running => KeyStatus::Running,
        wire::Standing::Served => KeyStatus::Served,
        wire::Standing::MayHaveRun => KeyStatus::MayHaveRun,
        wire::Standing::Unknown => KeyStatus::Unknown,
    }
}
