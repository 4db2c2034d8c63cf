//! Requests of local callers that wait for the node's answer.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use control::{Answer, CallerRequest, Input};
use tokio::sync::oneshot;

use crate::run::InputQueue;

/// Calls that wait for the node's answer, by token; clones share them.
#[derive(Debug, Clone, Default)]
pub struct PendingCalls {
    senders: Rc<RefCell<HashMap<u64, oneshot::Sender<Answer>>>>,
    last_token: Rc<RefCell<u64>>,
}

impl PendingCalls {
    /// Delivers an answer to its caller; does nothing if the caller disconnected.
    pub fn deliver(&self, token: u64, answer: Answer) {
        if let Some(sender) = self.senders.borrow_mut().remove(&token) {
            // Sending fails if the caller disconnected; the answer is dropped then.
            drop(sender.send(answer));
        }
    }

    /// Passes a call to the node and waits for the answer.
    ///
    /// If the future is dropped early, the node is notified that the caller disconnected.
    pub async fn ask(&self, inputs: &InputQueue, call: CallerRequest) -> Answer {
        let (token, receiver) = self.register();
        let guard = CallGuard { token, calls: self.clone(), inputs: inputs.clone() };
        inputs.push(Input::Call { token, call });
        let answer = receiver.await.unwrap_or(Answer::OutcomeUnknown);
        drop(guard);
        answer
    }

    /// Registers a caller; returns its token and the receiver of its answer.
    fn register(&self) -> (u64, oneshot::Receiver<Answer>) {
        let mut last_token = self.last_token.borrow_mut();
        *last_token += 1;
        let (sender, receiver) = oneshot::channel();
        self.senders.borrow_mut().insert(*last_token, sender);
        (*last_token, receiver)
    }
}

/// Notifies the node when a caller disconnects before its answer.
struct CallGuard {
    token: u64,
    calls: PendingCalls,
    inputs: InputQueue,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if self.calls.senders.borrow_mut().remove(&self.token).is_some() {
            self.inputs.push(Input::CallerDisconnected { token: self.token });
        }
    }
}
