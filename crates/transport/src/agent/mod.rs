//! Agent: ends callers' flows in user space and brings their requests to the
//! backend server beside it.

pub mod device;
mod driving;
pub mod flows;
pub mod io;
pub mod leaving;
pub mod news;
mod packets;
pub mod stack;
pub mod timers;
pub mod traffic;
