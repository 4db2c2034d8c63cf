//! Faults of the simulated store.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

common::data! {
    /// Fault of the store, for all its callers.
    #[derive(Copy, Default)]
    pub enum Fault {
        /// The store works.
        #[default]
        None,
        /// Every call is answered 503 without taking effect.
        Busy,
        /// No call takes effect or is answered.
        Silent,
        /// Every call takes effect after a delay.
        Slow(Duration),
        /// Some calls take effect without an answer.
        LoseAnswers {
            /// Share of the calls, 0 to 1.
            share: f64,
        },
        /// Some calls take effect later, if their condition still holds, without an answer.
        Late {
            /// Share of the calls, 0 to 1.
            share: f64,
            /// Time from the call to its effect.
            delay: Duration,
        },
    }
}

/// What becomes of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fate {
    /// The call takes effect after a delay.
    Served {
        /// Time from the call to its effect.
        delay: Duration,
        /// Whether the caller gets an answer.
        is_answered: bool,
    },
    /// The call is answered 503.
    Refused,
    /// Nothing happens.
    Dropped,
}

/// Current fault, and the random numbers that choose the calls it hits.
#[derive(Debug)]
pub(super) struct Faults {
    pub fault: Fault,
    random: StdRng,
}

impl Faults {
    /// A store that works; the seed decides which calls later faults hit.
    pub fn new(seed: u64) -> Self {
        Self { fault: Fault::None, random: StdRng::seed_from_u64(seed) }
    }

    /// Chooses what becomes of a call.
    pub fn draw(&mut self) -> Fate {
        let served = |delay, is_answered| Fate::Served { delay, is_answered };
        let fault = self.fault;
        match fault {
            Fault::Busy => Fate::Refused,
            Fault::Silent => Fate::Dropped,
            Fault::Slow(delay) => served(delay, true),
            Fault::LoseAnswers { share } => served(Duration::ZERO, !self.is_hit(share)),
            Fault::Late { share, delay } if self.is_hit(share) => served(delay, false),
            Fault::None | Fault::Late { .. } => served(Duration::ZERO, true),
        }
    }

    fn is_hit(&mut self, share: f64) -> bool {
        self.random.random_bool(share.clamp(0.0, 1.0))
    }
}
