//! The replies to one request, sent to every caller that made the same request.
//!
//! A turn doesn't depend on its listeners: callers may disconnect, and others that request the same
//! turn subscribe and first get the replies sent so far.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use serde_json::Value;
use tokio::sync::mpsc::UnboundedSender;
use wire::ask::Reply;
use wire::code::Refusal;

/// Sends replies to one caller.
pub type Sink = UnboundedSender<Reply>;

/// The replies to one request. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Feed(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    deltas: Vec<Value>,
    last: Option<Reply>,
    sinks: Vec<Sink>,
}

impl Feed {
    /// Adds a listener and sends it the replies so far.
    pub fn subscribe(&self, sink: Sink) {
        let mut state = self.lock();
        for delta in &state.deltas {
            let _receiver_gone = sink.send(Reply::Delta(delta.clone()));
        }
        match &state.last {
            Some(last) => {
                let _receiver_gone = sink.send(last.clone());
            }
            None => state.sinks.push(sink),
        }
    }

    /// Sends a piece of the answer to every listener.
    pub fn push(&self, delta: Value) {
        let mut state = self.lock();
        state
            .sinks
            .retain(|sink| sink.send(Reply::Delta(delta.clone())).is_ok());
        state.deltas.push(delta);
    }

    /// Sends the last reply to every listener; ignores later calls.
    pub fn finish(&self, last: Reply) {
        let mut state = self.lock();
        if state.last.is_some() {
            return;
        }
        for sink in std::mem::take(&mut state.sinks) {
            let _receiver_gone = sink.send(last.clone());
        }
        state.last = Some(last);
    }

    /// Sends a refusal as the last reply.
    pub fn refuse(&self, refusal: Refusal) {
        self.finish(Reply::Refused(refusal));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
