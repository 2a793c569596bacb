//! Small stand-ins for the external systems: the platform, model runners and plain services.
//!
//! Each stand-in runs as a task inside any process or as its own process, speaks the protocol of
//! the system that it replaces, and can inject the faults that the real system shows.

pub mod client;
pub mod http;
pub mod platform;
pub mod runner;
pub mod service;
