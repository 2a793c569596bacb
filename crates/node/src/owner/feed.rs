//! The replies to one ask, shared by every caller that asked the same.
//!
//! A turn doesn't depend on who listens: callers may go away, and others that ask the same turn
//! join and first get what has been said so far.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use serde_json::Value;
use tokio::sync::mpsc::UnboundedSender;
use wire::ask::Reply;
use wire::code::Refusal;

/// Where replies to one caller go.
pub type Sink = UnboundedSender<Reply>;

/// The replies to one ask. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Feed(Arc<Mutex<Said>>);

#[derive(Debug, Default)]
struct Said {
    deltas: Vec<Value>,
    last: Option<Reply>,
    sinks: Vec<Sink>,
}

impl Feed {
    /// Adds a listener, which gets what was said so far.
    pub fn join(&self, sink: Sink) {
        let mut said = self.lock();
        for delta in &said.deltas {
            let _gone = sink.send(Reply::Delta(delta.clone()));
        }
        match &said.last {
            Some(last) => {
                let _gone = sink.send(last.clone());
            }
            None => said.sinks.push(sink),
        }
    }

    /// Passes a piece of the answer on.
    pub fn delta(&self, delta: Value) {
        let mut said = self.lock();
        said.sinks
            .retain(|sink| sink.send(Reply::Delta(delta.clone())).is_ok());
        said.deltas.push(delta);
    }

    /// Passes the last reply on; later ones are dropped.
    pub fn finish(&self, last: Reply) {
        let mut said = self.lock();
        if said.last.is_some() {
            return;
        }
        for sink in std::mem::take(&mut said.sinks) {
            let _gone = sink.send(last.clone());
        }
        said.last = Some(last);
    }

    /// Ends with a refusal.
    pub fn refuse(&self, refusal: Refusal) {
        self.finish(Reply::Refused(refusal));
    }

    fn lock(&self) -> MutexGuard<'_, Said> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
