//! Stored turns and spent tokens, replicated over the VMs that have a disk.
//!
//! Both are sets of records that never change once written: the text of a turn, a reservation of
//! tokens, and how many of the reserved tokens were used. Copies of such records can't conflict, so
//! there is no leader. A writer sends a record to all members of a group and continues when a
//! majority has synced it. A reader that hears from enough members to intersect every majority has
//! seen every record that was acknowledged before it asked.
//!
//! Only the set of members needs agreement. It is one small document with a version, changed by
//! compare-and-swap in the platform's key-value service. A member refuses requests made under a
//! version other than its own, so no majority of an old list forms once a new one is in use.

mod age;
pub mod call;
pub mod catch_up;
mod chain;
pub mod client;
pub mod disk;
pub mod index;
pub mod inquiry;
pub mod ledger;
pub mod list;
pub mod medium;
pub mod member;
pub mod message;
pub mod outlook;
pub mod quorum;
pub mod record;
pub mod server;
pub mod unresponsive;
