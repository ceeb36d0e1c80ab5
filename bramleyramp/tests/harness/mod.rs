//! Shared code of the tests that run real processes on loopback: starting the
//! processes, and encoding the packets of the users' platform.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod daemon_process;
pub mod packet_codec;
