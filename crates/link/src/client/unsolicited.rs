//! Connections on which a peer sent bytes though no request waited for an answer.

use std::error::Error;
use std::mem;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::client::trail::History;

/// The most connections that are described until somebody asks. All are counted.
const MAX_DESCRIBED: usize = 32;

/// The connections that were closed for such bytes.
#[derive(Debug, Default)]
pub(super) struct Unsolicited(Mutex<Record>);

#[derive(Debug, Default)]
struct Record {
    count: u64,
    described: Vec<History>,
}

impl Unsolicited {
    /// Records a connection.
    pub(super) fn note(&self, history: History) {
        let mut record = self.record();
        record.count += 1;
        if record.described.len() < MAX_DESCRIBED {
            record.described.push(history);
        }
    }

    /// Returns how many connections were recorded so far.
    pub(super) fn count(&self) -> u64 {
        self.record().count
    }

    /// Takes the descriptions of the first connections since the last call.
    pub(super) fn take(&self) -> Vec<History> {
        mem::take(&mut self.record().described)
    }

    fn record(&self) -> MutexGuard<'_, Record> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether a connection ended because bytes came that no request had asked for.
///
/// Such an error is the only one of a client that has no cause and no predicate of its own.
pub(super) fn is_cause(fault: &hyper::Error) -> bool {
    fault.source().is_none()
        && !fault.is_parse()
        && !fault.is_incomplete_message()
        && !fault.is_canceled()
        && !fault.is_closed()
        && !fault.is_user()
        && !fault.is_timeout()
        && !fault.is_shutdown()
}

/// Returns whether a request wasn't sent because such bytes were there before.
pub(super) fn is_cause_of(fault: &hyper::Error) -> bool {
    let cause = fault.source();
    let cause = cause.and_then(<dyn Error>::downcast_ref::<hyper::Error>);
    fault.is_canceled() && cause.is_some_and(is_cause)
}
