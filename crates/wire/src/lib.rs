//! The vocabulary that every process shares: time, ids, result codes, log events, and the messages
//! between callers, VMs and endpoints.
//!
//! The crate holds data and its codecs, no behaviour: each other crate may depend on it, and it
//! depends on none of them.

pub mod ask;
pub mod chat;
pub mod clock;
pub mod code;
pub mod event;
pub mod frame;
pub mod id;
