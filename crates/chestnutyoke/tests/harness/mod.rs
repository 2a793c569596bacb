//! The harness of the process tests: stand-ins and nodes as processes of their own on loopback, a
//! caller, and the signals and switches that make them fail.
#![allow(dead_code)] // each test file uses a part
#![allow(unused_imports)]

mod caller;
mod fleet;
mod port;
mod process;
mod relay;
mod switch;

pub use caller::Answer;
pub use caller::Ask;
pub use caller::Stream;
pub use caller::call;
pub use caller::chat;
pub use caller::chat_until_answered;
pub use caller::end;
pub use caller::open;
pub use caller::said;
pub use fleet::Endpoint;
pub use fleet::Fleet;
pub use fleet::MODEL;
pub use fleet::Node;
pub use fleet::Plan;
pub use fleet::SERVICE;
pub use fleet::TOKEN;
pub use process::Signal;
pub use relay::Relay;
pub use switch::get;
pub use switch::peek;
pub use switch::post;
pub use switch::until;
pub use switch::until_some;

use std::time::Duration;

/// Far longer than any wait of these tests takes; a test that reaches it has failed.
pub const PATIENCE: Duration = Duration::from_mins(1);
