//! What stands around real processes on loopback in place of the users'
//! platform: its packets, and the machines that processes run on.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod daemon_process;
pub mod packet_codec;
