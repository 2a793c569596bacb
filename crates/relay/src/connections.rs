//! How connections to runners, VMs and the key-value service are made and kept.

use std::time::Duration;

use link::client::Limits;

use crate::plain;

/// Timeout for connecting to a runner or VM. Data centres are a few milliseconds apart.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long sent bytes may stay unacknowledged before the connection counts as dead. Longer than
/// two retransmissions of a packet (after 0.2 and 0.4 s). In a partition, requests on kept
/// connections hang for this long before the failure is noticed.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(650);
/// How long an unused connection to a runner is kept. Runners that close connections sooner
/// announce it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a connection stays unused after an answer. Spares requests that would be lost behind a second
/// answer that a faulty runner sends within some milliseconds.
const REUSE_DELAY: Duration = Duration::from_millis(5);
/// The most unused connections kept to a runner. More than the requests that one VM has in flight
/// at a runner.
const MAX_IDLE_CONNECTIONS: usize = 24;
/// The most bytes of a connection to a runner that are read ahead: several events, or a plain answer. Each
/// connection may take them twice, beside the bytes that are counted: a part that waits to be taken, and
/// the next one.
const MAX_RUNNER_BUFFER_BYTES: usize = 16 * 1024;
/// The most bytes of an answer that its connection has read ahead.
pub const READ_AHEAD_BYTES: usize = 2 * MAX_RUNNER_BUFFER_BYTES;
/// The same for connections to VMs and to the key-value service, of which histories come.
const MAX_VM_BUFFER_BYTES: usize = 400 * 1024;
/// The most bytes that a runner may send after the head of an answer: twice the longest answer that is
/// passed on whole, for the framing of short chunks.
const MAX_RUNNER_ANSWER_BYTES: u64 = 2 * plain::MAX_ANSWER_BYTES as u64;

/// The limits of connections to VMs and to the key-value service, from VMs that take requests.
pub const VM_LIMITS: Limits = Limits {
    connect_timeout: CONNECT_TIMEOUT,
    unacked_timeout: UNACKED_TIMEOUT,
    idle_timeout: IDLE_TIMEOUT,
    reuse_delay: Duration::ZERO,
    max_idle: MAX_IDLE_CONNECTIONS,
    max_buffer: MAX_VM_BUFFER_BYTES,
    max_answer: u64::MAX,
};

/// The limits of connections to runners.
pub const RUNNER_LIMITS: Limits = Limits {
    reuse_delay: REUSE_DELAY,
    max_buffer: MAX_RUNNER_BUFFER_BYTES,
    max_answer: MAX_RUNNER_ANSWER_BYTES,
    ..VM_LIMITS
};
