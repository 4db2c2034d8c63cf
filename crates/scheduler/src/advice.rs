//! How long advice calls take, and how many more may be asked for.

use std::time::Duration;

/// Time of a call without workers from which it counts as slow.
const SLOW_CALL: Duration = Duration::from_millis(200);

/// Time of a call without workers from which it counts as middling.
const MIDDLING_CALL: Duration = Duration::from_millis(30);

common::key! {
    /// How long the calls of a queue take, without workers named.
    pub enum Pace {
        /// Below 30 ms.
        Quick,
        /// Below 200 ms.
        Middling,
        /// Longer.
        Slow,
    }

    /// Calls that may still be asked for, by pace.
    ///
    /// A call that waits is of no use: its turn comes by the order of asking, not by rank,
    /// and the workers that it names may have no room any more once it is made.
    pub struct AskRoom {
        /// Quick calls.
        pub quick: usize,
        /// Middling calls.
        pub middling: usize,
        /// Slow calls.
        pub slow: usize,
    }
}

impl Pace {
    /// The pace of calls that take a time without workers named.
    pub fn of(base: Duration) -> Self {
        match base {
            base if base >= SLOW_CALL => Self::Slow,
            base if base >= MIDDLING_CALL => Self::Middling,
            _ => Self::Quick,
        }
    }
}

impl Default for AskRoom {
    fn default() -> Self {
        Self { quick: usize::MAX, middling: usize::MAX, slow: usize::MAX }
    }
}

impl AskRoom {
    fn of(&mut self, pace: Pace) -> &mut usize {
        match pace {
            Pace::Quick => &mut self.quick,
            Pace::Middling => &mut self.middling,
            Pace::Slow => &mut self.slow,
        }
    }

    /// Whether there is room for a call.
    pub(crate) fn has(mut self, pace: Pace) -> bool {
        *self.of(pace) > 0
    }

    /// Takes room for a call.
    pub(crate) fn take(&mut self, pace: Pace) {
        let room = self.of(pace);
        *room = room.saturating_sub(1);
    }
}
