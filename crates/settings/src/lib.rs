//! What people decide: a VM's own settings file, and the operators' configuration of callers,
//! endpoints, labels and selectors that every VM shares.

pub mod check;
pub mod config;
pub mod label;
pub mod schema;
pub mod unit;
pub mod vm;
