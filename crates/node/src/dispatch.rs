//! Runs calls at endpoints: chooses an endpoint within the endpoints' limits, speaks its protocol,
//! and reports exactly what is known about the call's outcome.

mod choose;
pub mod collect;
pub mod ejection;
pub mod endpoint_state;
pub mod runner;
pub mod scheduler;
pub mod service;
