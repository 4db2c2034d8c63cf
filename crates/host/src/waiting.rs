//! Callers of this process that wait for the node's answers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use control::{Answer, Call, Input};
use tokio::sync::oneshot;

use crate::run::Inputs;

/// Answers that callers of this process wait for.
#[derive(Debug, Clone, Default)]
pub struct Waiting {
    waiting: Rc<RefCell<HashMap<u64, oneshot::Sender<Answer>>>>,
    next: Rc<RefCell<u64>>,
}

impl Waiting {
    /// Hands an answer to its caller; one that left gets none.
    pub fn answer(&self, token: u64, answer: Answer) {
        if let Some(sender) = self.waiting.borrow_mut().remove(&token) {
            // The receiver is gone where the caller left.
            drop(sender.send(answer));
        }
    }

    /// Asks the node and waits for its answer.
    ///
    /// The node forgets the call where the future is dropped before.
    pub async fn ask(&self, inputs: &Inputs, call: Call) -> Answer {
        let (token, receiver) = self.add();
        let guard = Guard { token, waiting: self.clone(), inputs: inputs.clone() };
        inputs.push(Input::Call { token, call });
        let answer = receiver.await.unwrap_or(Answer::Unknown);
        drop(guard);
        answer
    }

    fn add(&self) -> (u64, oneshot::Receiver<Answer>) {
        let mut next = self.next.borrow_mut();
        *next += 1;
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(*next, sender);
        (*next, receiver)
    }
}

/// Forgets a caller that leaves before its answer.
struct Guard {
    token: u64,
    waiting: Waiting,
    inputs: Inputs,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if self.waiting.waiting.borrow_mut().remove(&self.token).is_some() {
            self.inputs.push(Input::Gone { token: self.token });
        }
    }
}
