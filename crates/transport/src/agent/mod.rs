//! Agent: ends callers' flows in user space and brings their requests to the
//! backend server beside it.

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
