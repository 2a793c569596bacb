//! A scheduler for agent programs. This crate is the library's front and its command line; the
//! daemon in `main.rs` is a thin layer over it.

pub mod cli;
pub mod client;
pub mod commands;
pub mod embedded;
pub mod logging;
pub mod serve;
pub mod table;

pub use node;
pub use settings;
pub use wire;
