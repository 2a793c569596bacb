//! Load management decisions: admission, queueing, rejection, placement, retries, slow start, and
//! what a process that is shutting down still accepts.
//!
//! The functions are pure: they work on plain state and a given time, without network access or a
//! clock. Randomness comes only from a generator that is passed in. Each VM runs them over its own
//! queue and its own view of the endpoints; no decision requires agreement between VMs.

pub mod admit;
pub mod balancer;
pub mod class;
pub mod connections;
pub mod crash;
pub mod decay;
pub mod decaying_mean;
pub mod eject;
pub mod home;
pub mod memory;
pub mod opening;
pub mod own_calls;
pub mod place;
pub mod preempt;
pub mod prefix;
pub mod queue;
pub mod quota;
pub mod reachability;
mod rendezvous;
pub mod retry;
pub mod slow_start;
pub mod slowdown;
pub mod standing;
pub mod stop;
pub mod subset;
