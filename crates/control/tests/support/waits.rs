//! Checks that no step waits although it could be placed.

use std::collections::HashMap;
use std::time::Duration;

use common::Name;
use scheduler::WaitReason;

use super::Simulation;

/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time that a step may wait under one leader with room for it unreserved and no advice
/// call under way.
const MAX_WAIT: Duration = Duration::from_secs(3);

/// Jobs whose first ready step could be placed, and since when.
#[derive(Debug, Default)]
pub struct WaitCheck {
    next_at: Duration,
    /// Node and incarnation of the leader at the last check.
    leader: Option<(usize, u64)>,
    placeable_since: HashMap<Name, Duration>,
}

impl Simulation {
    /// Records each job that could have been placed for too long as a violation.
    pub(super) fn check_waits(&mut self) {
        if self.now < self.wait_check.next_at {
            return;
        }
        self.wait_check.next_at = self.now + CHECK_INTERVAL;
        let leader = self.leader();
        let leader = leader.map(|number| (number, self.slots[number].incarnation));
        if self.wait_check.leader != leader {
            self.wait_check.placeable_since.clear();
        }
        self.wait_check.leader = leader;
        let Some((number, _)) = leader else { return };
        let Some(node) = &self.slots[number].node else { return };
        let Some(scheduler) = node.scheduler() else { return };
        let now = self.now;
        let placeable = scheduler.jobs.keys().filter(|id| {
            let reason = scheduler.first_wait_reason(id, now);
            matches!(reason, Some(WaitReason::NextPass | WaitReason::Ticket))
        });
        let mut since = HashMap::new();
        for id in placeable {
            let mut first = self.wait_check.placeable_since.get(id).copied().unwrap_or(now);
            if now > first + MAX_WAIT {
                self.violations.push(format!("{id} waits at {now:?} though it could be placed"));
                first = now;
            }
            since.insert(id.clone(), first);
        }
        self.wait_check.placeable_since = since;
    }
}
