//! A scheduler for agent programs. This crate contains the command line and re-exports the library
//! crates; `main.rs` is a thin layer over it.

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
