//! Runs calls at endpoints: chooses one within the limits of each, speaks its protocol, and tells
//! exactly what became of the call.

mod choose;
pub mod collect;
pub mod desk;
pub mod runner;
pub mod service;
pub mod standing;
pub mod sweep;
