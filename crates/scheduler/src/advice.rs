//! Duration classes of advice calls, and how many more calls may start.

use std::time::Duration;

/// Expected duration from which a call counts as slow.
const SLOW_CALL_THRESHOLD: Duration = Duration::from_millis(200);

/// Expected duration from which a call counts as medium; shorter ones are fast.
const MEDIUM_CALL_THRESHOLD: Duration = Duration::from_millis(30);

/// Longest expected wait at which another call is requested.
///
/// Tickets expire, and the room that they are for is reserved until they arrive, so that a call
/// is worth requesting only if it starts soon.
const MAX_CALL_WAIT: Duration = Duration::from_millis(100);

common::key! {
    /// Class of an advice call by its expected duration.
    pub enum CallClass {
        /// Short enough that many calls may share a daemon.
        Fast,
        /// Between fast and slow.
        Medium,
        /// So long that calls behind it would be late.
        Slow,
    }
}

impl CallClass {
    /// All classes, in the order in which their calls are sent.
    pub const ALL: [Self; 3] = [Self::Fast, Self::Medium, Self::Slow];

    /// The class of calls with an expected duration.
    pub fn of(duration: Duration) -> Self {
        match duration {
            duration if duration >= SLOW_CALL_THRESHOLD => Self::Slow,
            duration if duration >= MEDIUM_CALL_THRESHOLD => Self::Medium,
            _ => Self::Fast,
        }
    }
}

/// Daemons that can make advice calls soon, by class of calls.
#[derive(Debug, Clone, Default)]
pub struct AdviceCapacity {
    /// Expected time until each daemon is free.
    waits: [Vec<Duration>; CallClass::ALL.len()],
    /// Steps of each class that a pass found without a daemon.
    refused: [usize; CallClass::ALL.len()],
}

impl AdviceCapacity {
    /// Adds a daemon that makes calls of a class once it is free after `wait`.
    pub fn add_daemon(&mut self, class: CallClass, wait: Duration) {
        self.waits[class as usize].push(wait);
    }

    /// Assigns a call to the daemon that is free first, however long it is busy.
    pub fn assign(&mut self, duration: Duration) {
        let waits = &mut self.waits[CallClass::of(duration) as usize];
        if let Some(wait) = waits.iter_mut().min() {
            *wait += duration;
        }
    }

    /// Whether a call of a class could start soon.
    pub(crate) fn has_free_daemon(&self, class: CallClass) -> bool {
        self.free_daemons(class) > 0
    }

    /// Number of daemons on which a call of a class could start soon.
    pub(crate) fn free_daemons(&self, class: CallClass) -> usize {
        self.waits[class as usize].iter().filter(|wait| **wait <= MAX_CALL_WAIT).count()
    }

    /// Counts a step that needs a call; returns the number of those counted before.
    pub(crate) fn refuse(&mut self, class: CallClass) -> usize {
        let refused = &mut self.refused[class as usize];
        *refused += 1;
        *refused - 1
    }
}
