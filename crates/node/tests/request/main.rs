//! Tests one node in this process, with stand-in endpoints and an in-memory platform, under the
//! failures that a request may meet.

mod admission;
mod broken_heads;
mod config;
mod endless;
mod fleet;
mod handover;
mod lost;
mod metrics;
mod order;
mod service;
mod stop;
mod stuttering;
mod turn;
