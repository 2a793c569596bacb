//! Small stand-ins for the systems outside: the platform, model runners and plain services.
//!
//! Each runs as a task of any process or as a process of its own, speaks the usual protocol of
//! what it stands for, and has switches for the faults that the real one shows.

pub mod client;
pub mod http;
pub mod platform;
pub mod runner;
pub mod service;
