//! The tasks that do the controllers' I/O.

pub mod claims;
pub mod config;
pub mod members;
pub mod poller;
