//! The door for plain requests: any method and path, whole bodies passed on untouched.
//!
//! The VM that a client reached routes the request, sets the program's tokens aside, puts a kept
//! history before the input, places the request and calls the runner itself. Nothing of a request
//! is journaled in the platform's key-value service: no other VM ever gets the same attempt, so
//! running it at most once is one process's memory; what has to last (kept turns, tokens spent) is
//! replicated over the VMs with a disk (crate `replica`).

pub mod account;
pub mod answer;
pub mod arrival;
pub mod drain;
pub mod events;
pub mod exchange;
pub mod fleet;
pub mod follow;
pub mod front;
pub mod history;
pub mod job;
pub mod memory;
pub mod metrics;
pub mod node;
pub mod peers;
pub mod plain;
pub mod probe;
pub mod reachability;
pub mod records;
pub mod refuse;
pub mod register;
pub mod roster;
pub mod shutdown;
pub mod store;
pub mod stream;
pub mod subject;
pub mod table;
pub mod take;
pub mod tally;
pub mod turns;
pub mod work;
