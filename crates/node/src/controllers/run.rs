//! The tasks that do the controllers' traffic.

pub mod claims;
pub mod config;
pub mod keeper;
pub mod members;
