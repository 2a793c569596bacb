//! One node in this process, with stand-in endpoints and a platform in memory, under the failures
//! that a request meets.

mod admission;
mod fleet;
mod handover;
mod lost;
mod metrics;
mod order;
mod service;
mod stop;
mod turn;
