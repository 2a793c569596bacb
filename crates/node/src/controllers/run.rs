//! The tasks that do the controllers' traffic.

pub mod claims;
pub mod config;
pub mod members;
pub mod poller;
