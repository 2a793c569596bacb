//! Reconstructs from the logs of many VMs what happened to a request or program, and why.
//!
//! The person on call has the id of a request and the logs. The turns and calls of a program are in
//! the logs of several VMs, out of order, and a killed process leaves its last line truncated.
//!
//! - [`line`] parses one line, with or without text from a log collector before it;
//! - [`gap`] finds where a log lacks lines;
//! - [`state`] finds the lines in which VMs logged their own state;
//! - [`timeline`] collects and orders the lines of one id and names the cause;
//! - [`breakdown`] sums up where programs that ended late, or failed, spent their time.

pub mod breakdown;
pub mod gap;
pub mod line;
pub mod state;
pub mod timeline;

#[cfg(test)]
mod tests;
