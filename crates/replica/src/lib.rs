//! Kept turns and spent tokens, replicated over the VMs that have a disk.
//!
//! Both are sets of facts that never change once written: a turn's text, a reservation of tokens,
//! what of it was used. Copies of such facts can't conflict, so no VM leads: a writer sends a fact
//! to all members of a group and goes on when a majority has synced it; a reader that hears enough
//! members to meet every majority has seen every fact that was acknowledged before it asked.
//! What has to be agreed is only who the members are: one small document with a version, changed by
//! compare-and-swap in the platform's key-value service. A member refuses requests under another
//! version than its own, so no majority of an old list forms once a new one is in use.

pub mod call;
pub mod catch_up;
pub mod client;
pub mod disk;
pub mod index;
pub mod ledger;
pub mod list;
pub mod member;
pub mod message;
pub mod quorum;
pub mod record;
pub mod server;
pub mod unresponsive;
