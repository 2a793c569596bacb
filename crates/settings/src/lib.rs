//! A VM's own settings file, and the operators' configuration of callers, endpoints, labels and
//! selectors, which all VMs share.

pub mod check;
pub mod config;
pub mod label;
pub mod schema;
pub mod unit;
pub mod vm;
