//! Serves requests of any method and path and passes whole bodies on unmodified.
//!
//! The VM that a caller connects to does all the work of a request: it routes the request, reserves
//! tokens of the program's budget, prepends the stored history to the input, chooses a runner and
//! calls it. No request is journaled in the platform's key-value service: no other VM ever gets the
//! same attempt, so the memory of one process suffices to run it at most once. State that has to
//! last (stored turns, spent tokens) is replicated to the VMs with a disk (crate `replica`).

pub mod account;
pub mod answer;
pub mod arrival;
pub mod build;
pub mod connections;
pub mod content;
pub mod crashes;
pub mod delivered;
pub mod directory;
pub mod document;
pub mod doubt;
pub mod drain;
pub mod events;
pub mod exchange;
pub mod fleet;
pub mod follow;
pub mod freshness;
pub mod front;
pub mod held;
pub mod history;
pub mod identity;
pub mod ingest;
pub mod ingress;
pub mod job;
pub mod kept;
pub mod member_health;
pub mod memory;
pub mod metrics;
pub mod node;
pub mod opening;
pub mod peers;
pub mod plain;
pub mod probe;
pub mod reachability;
pub mod reading;
pub mod refuse;
pub mod register;
pub mod reports;
pub mod roster;
pub mod settlement;
pub mod shutdown;
pub mod signals;
pub mod store;
mod store_call;
pub mod stray;
pub mod stream;
pub mod subject;
pub mod table;
pub mod tally;
pub mod turns;
pub mod unreadable;
pub mod usage;
pub mod work;
pub mod workspace;
