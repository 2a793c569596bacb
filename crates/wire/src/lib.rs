//! The types that all processes share: time, ids, result codes, log events, and the messages
//! between callers, VMs and endpoints.
//!
//! The crate contains data types and their encodings, but no behaviour. Every other crate may
//! depend on it, and it depends on none of them.

pub mod ask;
pub mod chat;
pub mod clock;
pub mod code;
pub mod event;
pub mod frame;
pub mod id;
