//! What the logs of many VMs tell of one request or program, and of all that went wrong.
//!
//! The person on call has the id of a request and the logs; a program's turns and calls stand in the
//! logs of several VMs, out of order, and a process that was killed leaves its last line torn.
//!
//! - [`line`] reads one line, whatever stands around it;
//! - [`gap`] finds where a log lacks lines;
//! - [`state`] finds what VMs noted of their own state;
//! - [`story`] picks and orders the lines of one id and names the cause;
//! - [`spent`] sums up where programs that ended late, or didn't end, spent their time.

pub mod breakdown;
pub mod gap;
pub mod line;
pub mod state;
pub mod timeline;

#[cfg(test)]
mod tests;
