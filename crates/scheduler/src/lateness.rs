//! Jobs that will probably miss their target times, which rank behind all others.

use std::time::Duration;

use common::Name;

use crate::job::Job;
use crate::scheduler::Scheduler;

/// Share of its slack that a job may wait before it ranks as late.
///
/// Run times exceed their estimates, so a job that starts at the end of its slack is often late.
const MAX_SLACK_SHARE: f64 = 0.5;

/// Same as [`MAX_SLACK_SHARE`] for jobs with gangs, as it takes time to gather room for a gang.
const MAX_GANG_SLACK_SHARE: f64 = 0.75;

/// Added to the due time of a late job when jobs are ranked.
pub(crate) const LATE_RANK_DELAY: Duration = Duration::from_hours(1);

impl Scheduler {
    /// Ranks jobs that waited too long for their target times behind others of their priority.
    ///
    /// Otherwise a full pool runs the oldest jobs first, and all jobs are late.
    pub fn rank_late_jobs(&mut self, now: Duration) {
        let open = self.ranked_jobs.iter().filter_map(|(_, _, id)| self.jobs.get(id));
        let late: Vec<Name> =
            open.filter(|job| self.is_newly_late(job, now)).map(|job| job.id.clone()).collect();
        for id in late {
            let Some(rank) = self.jobs.get(&id).map(|job| self.rank(job)) else { continue };
            self.ranked_jobs.remove(&rank);
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            job.is_late = true;
            let Some(rank) = self.jobs.get(&id).map(|job| self.rank(job)) else { continue };
            self.ranked_jobs.insert(rank);
        }
    }

    /// Whether a job without a started task is late and not yet ranked as such.
    fn is_newly_late(&self, job: &Job, now: Duration) -> bool {
        if job.is_late || job.has_started {
            return false;
        }
        let has_gang = job.submission.steps.iter().any(|step| step.is_gang);
        let share = if has_gang { MAX_GANG_SLACK_SHARE } else { MAX_SLACK_SHARE };
        now.saturating_sub(job.arrived) > self.slack(job).mul_f64(share)
    }

    /// Time for which a job may wait and still complete by its target time.
    fn slack(&self, job: &Job) -> Duration {
        let target = job.due_at.saturating_sub(job.arrived);
        let Some(queue) = self.queue(&job.queue) else { return target };
        let critical_path = target.saturating_sub(queue.target_offset);
        target.saturating_sub(critical_path.div_f64(queue.target_factor.max(1.0)))
    }
}
