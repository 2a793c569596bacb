//! The harness of the tests with real processes: stand-ins and nodes as processes on loopback, a
//! caller, and the signals and fault settings that make them fail.
#![allow(dead_code)] // each test file uses only a part
#![allow(unused_imports)]

mod caller;
mod fleet;
mod http;
mod port;
mod process;
mod proxy;

pub use caller::Answer;
pub use caller::ChatRequest;
pub use caller::Stream;
pub use caller::call;
pub use caller::chat;
pub use caller::chat_until_answered;
pub use caller::end;
pub use caller::message;
pub use caller::open;
pub use fleet::Endpoint;
pub use fleet::Fleet;
pub use fleet::MODEL;
pub use fleet::Node;
pub use fleet::Plan;
pub use fleet::SERVICE;
pub use fleet::TOKEN;
pub use http::get;
pub use http::http_status;
pub use http::post;
pub use http::wait_for;
pub use http::wait_until;
pub use process::Signal;
pub use proxy::Proxy;

use std::time::Duration;

/// The limit of any wait in these tests: far longer than a passing test needs.
pub const TIMEOUT: Duration = Duration::from_mins(1);
