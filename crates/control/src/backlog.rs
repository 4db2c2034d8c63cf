//! Inputs that wait for the event loop, by class.
//!
//! A batch takes inputs of all classes, those that decide leadership first, and a bounded number
//! of each class. So a reply of the store or a heartbeat waits for one batch at most, and no
//! class starves.
//!
//! The order of arrival is kept within a class. An input may overtake an earlier one of a later
//! class, which the protocol allows:
//!
//! - A link's hello, welcome and heartbeats only overtake requests, answers and advice on the
//!   link. A hello is the first frame on its link, so no request overtakes it.
//! - The end of a link may overtake frames on it. The leader's answer to such a request is lost
//!   like one in transit, and the follower sends the request again. Advice on a closed link
//!   counts as late.
//! - A resignation may overtake answers. An answer counts whatever the daemon's role is.
//! - Replies of a worker, and changes of the worker list, are of one class.
//! - A request of a caller and its disconnection are of one class.
//! - Replies of the store, workers and advice service come over different connections, so their
//!   order carries no meaning.

use std::collections::VecDeque;
use std::time::Duration;

use crate::frame::Body;
use crate::input::{Input, PeerEvent};

common::key! {
    /// Class of inputs.
    enum Class {
        /// Inputs that decide leadership: results of commits and reads, events on links, signals.
        Control,
        /// Replies of workers, changes of the rules and workers, and the leader's answers.
        Reply,
        /// Advice calls for the leader, and their results.
        Advice,
        /// Requests of callers.
        Request,
    }
}

impl Class {
    const ALL: [Self; 4] = [Self::Control, Self::Reply, Self::Advice, Self::Request];

    fn of(input: &Input) -> Self {
        match input {
            Input::Peer { event: PeerEvent::Frame(frame), .. } => match frame.body {
                Some(Body::Request(_)) => Self::Request,
                Some(Body::Ask(_) | Body::Advice(_)) => Self::Advice,
                Some(Body::Reply(_)) => Self::Reply,
                _ => Self::Control,
            },
            Input::Order { .. } | Input::Renew { .. } | Input::Watch { .. } => Self::Reply,
            Input::Advice { .. } => Self::Advice,
            Input::Call { .. } | Input::CallerDisconnected { .. } => Self::Request,
            Input::Peer { .. }
            | Input::Read { .. }
            | Input::Commit { .. }
            | Input::Tick
            | Input::Reload(_)
            | Input::Stop
            | Input::Resumed { .. } => Self::Control,
        }
    }

    /// Most inputs of the class in a batch.
    fn max_in_batch(self) -> usize {
        match self {
            Self::Control => 64,
            Self::Reply => 32,
            Self::Advice | Self::Request => 16,
        }
    }
}

/// An input, and when it was queued by the node's clock.
#[derive(Debug)]
pub struct QueuedInput {
    /// The input.
    pub input: Input,
    /// When it was queued.
    pub queued_at: Duration,
}

/// Queued inputs.
#[derive(Debug, Default)]
pub struct Backlog {
    queues: [VecDeque<QueuedInput>; Class::ALL.len()],
}

impl Backlog {
    /// Adds an input.
    pub fn push(&mut self, queued_at: Duration, input: Input) {
        self.queues[Class::of(&input) as usize].push_back(QueuedInput { input, queued_at });
    }

    /// Removes and returns the inputs to handle next.
    pub fn take_batch(&mut self) -> Vec<QueuedInput> {
        let mut batch = Vec::new();
        for class in Class::ALL {
            let queue = &mut self.queues[class as usize];
            batch.extend(queue.drain(..queue.len().min(class.max_in_batch())));
        }
        batch
    }

    /// Number of queued inputs.
    pub fn len(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    /// Whether no input is queued.
    pub fn is_empty(&self) -> bool {
        self.queues.iter().all(VecDeque::is_empty)
    }
}
