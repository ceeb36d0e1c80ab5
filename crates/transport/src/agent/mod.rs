//! Agent: terminates callers' TCP connections (flows) in user space and
//! forwards their HTTP requests to the backend server next to it.

pub mod device;
pub mod drain_timer;
mod flow_driver;
pub mod flows;
pub mod io;
mod packets;
pub mod stack;
pub mod thread_messages;
pub mod timers;
pub mod traffic;
