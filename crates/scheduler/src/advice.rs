//! Duration classes of advice calls, and how many more calls may start.

use std::time::Duration;

/// Expected duration from which a call counts as slow.
const SLOW_CALL_THRESHOLD: Duration = Duration::from_millis(200);

/// Expected duration from which a call counts as medium; shorter ones are fast.
const MEDIUM_CALL_THRESHOLD: Duration = Duration::from_millis(30);

/// Time for which a class counts as short of daemons after a step found none.
///
/// Slow calls take about as long, so that a daemon which is kept becomes free meanwhile.
pub(crate) const SHORTAGE_SPAN: Duration = Duration::from_secs(1);

/// Longest expected wait at which another call is requested.
///
/// Tickets expire, and the room that they are for is reserved until they arrive, so that a call
/// is worth requesting only if it starts soon.
pub(crate) const MAX_CALL_WAIT: Duration = Duration::from_millis(100);

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

/// A daemon that can make advice calls.
#[derive(Debug, Clone)]
struct Daemon {
    /// Expected time until it is free.
    wait: Duration,
    /// Classes of the calls that it makes.
    classes: Vec<CallClass>,
    /// Class for whose calls it is kept while these are short of daemons.
    kept_for: Option<CallClass>,
}

/// Daemons that can make advice calls soon.
#[derive(Debug, Clone, Default)]
pub struct AdviceCapacity {
    daemons: Vec<Daemon>,
    /// Steps of each class that a pass found without a daemon.
    refused: [usize; CallClass::ALL.len()],
    /// Whether each class is short of daemons.
    is_short: [bool; CallClass::ALL.len()],
}

impl AdviceCapacity {
    /// Adds a daemon that makes calls of some classes once it is free after `wait`.
    ///
    /// It is kept for one of them, if any, while steps of that class find no daemon.
    pub fn add_daemon(
        &mut self,
        classes: &[CallClass],
        kept_for: Option<CallClass>,
        wait: Duration,
    ) {
        self.daemons.push(Daemon { wait, classes: classes.to_vec(), kept_for });
    }

    /// Keeps daemons for a class that is short of them.
    pub(crate) fn set_short(&mut self, class: CallClass) {
        self.is_short[class as usize] = true;
    }

    /// Whether a class is short of daemons.
    pub(crate) fn is_short(&self, class: CallClass) -> bool {
        self.is_short[class as usize]
    }

    /// Assigns a call to the daemon that is free first, however long it is busy.
    pub fn assign(&mut self, duration: Duration) {
        let (class, is_short) = (CallClass::of(duration), self.is_short);
        let able = self.daemons.iter_mut().filter(|daemon| daemon.makes(class, is_short));
        // Daemons that make calls of one class leave the others to those of several.
        if let Some(daemon) = able.min_by_key(|daemon| (daemon.wait, daemon.classes.len())) {
            daemon.wait += duration;
        }
    }

    /// Whether a call of a class could start soon.
    pub(crate) fn has_free_daemon(&self, class: CallClass) -> bool {
        self.free_daemons(class) > 0
    }

    /// Number of daemons on which a call of a class could start soon.
    pub(crate) fn free_daemons(&self, class: CallClass) -> usize {
        let able = self.daemons.iter().filter(|daemon| daemon.makes(class, self.is_short));
        able.filter(|daemon| daemon.wait <= MAX_CALL_WAIT).count()
    }

    /// Counts a step that needs a call; returns the number of those counted before.
    pub(crate) fn refuse(&mut self, class: CallClass) -> usize {
        let refused = &mut self.refused[class as usize];
        *refused += 1;
        *refused - 1
    }
}

impl Daemon {
    /// Whether it makes calls of a class, given which classes are short of daemons.
    fn makes(&self, class: CallClass, is_short: [bool; CallClass::ALL.len()]) -> bool {
        let is_free_for = |kept_for| kept_for == class || !is_short[kept_for as usize];
        self.classes.contains(&class) && self.kept_for.is_none_or(is_free_for)
    }
}
