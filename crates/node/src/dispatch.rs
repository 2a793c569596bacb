//! Runs calls at endpoints: chooses one within the limits of each, speaks its protocol, and tells
//! exactly what became of the call.

mod choose;
pub mod collect;
pub mod ejection;
pub mod endpoint_state;
pub mod runner;
pub mod scheduler;
pub mod service;
