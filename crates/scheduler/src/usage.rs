//! How much of the pool is in use, reserved or free, and how many steps have nothing running.

use common::Name;

use crate::job::Job;
use crate::scheduler::Scheduler;

common::data! {
    /// Use of the pool's CPU, in thousandths of a core, and steps that wait.
    ///
    /// The CPU is that of the usable workers as the last pass left it. What is used, reserved,
    /// withheld and free adds up to the capacity.
    #[derive(Copy, Default, Eq)]
    pub struct Usage {
        /// CPU of the usable workers.
        pub capacity: u64,
        /// In use by assigned runs.
        pub used: u64,
        /// Reserved for steps, and not used.
        pub reserved: u64,
        /// Part of the reserved CPU that is lent to tasks which end early enough.
        pub lent: u64,
        /// Withheld on workers that take a single task, as a trial.
        pub withheld: u64,
        /// Neither used, reserved nor withheld.
        pub free: u64,
        /// Steps whose turn has come and of which no task is assigned to a worker; those that wait at
        /// the limit of their workspace do not count.
        pub idle_steps: usize,
        /// The gangs among them.
        pub idle_gangs: usize,
        /// Gangs for which the last pass reserved room.
        pub collecting_gangs: usize,
        /// Those of them that had no advice call under way.
        pub uncalled_gangs: usize,
    }
}

impl Scheduler {
    /// Use of the pool; visits every worker and the tasks of every open job.
    pub fn usage(&self) -> Usage {
        let mut usage = Usage {
            collecting_gangs: self.collecting_gangs.len(),
            uncalled_gangs: self.collecting_gangs.values().filter(|has_call| !**has_call).count(),
            ..Usage::default()
        };
        for slot in &self.last_slots {
            usage.capacity += u64::from(slot.capacity.cpu);
            usage.reserved += u64::from(slot.reserved.cpu);
            usage.lent += u64::from(slot.lent.cpu);
            usage.withheld += u64::from(slot.withheld.cpu);
            usage.free += u64::from(slot.free_capacity.cpu);
        }
        // More than the capacity of a worker that shrank counts as all of it.
        let unused = usage.reserved + usage.withheld + usage.free;
        usage.used = usage.capacity.saturating_sub(unused);
        let open = self.ranked_jobs.iter().filter_map(|(_, _, id)| self.jobs.get(id));
        for is_gang in open.flat_map(|job| self.idle_steps(job)) {
            usage.idle_steps += 1;
            usage.idle_gangs += usize::from(is_gang);
        }
        usage
    }

    /// Records that a pass reserves room for a gang, given as job id and index of the step.
    pub(crate) fn record_collecting(&mut self, (id, step): (&Name, u32)) {
        let state = self.jobs.get(id).and_then(|job| job.steps.get(step as usize));
        let has_call = state.is_some_and(|state| !state.pending_advice.is_empty());
        self.collecting_gangs.insert((id.clone(), step), has_call);
    }

    /// The ready steps of a job of which no task is assigned, without those that wait at the limit
    /// of their workspace; whether each is a gang.
    fn idle_steps<'a>(&'a self, job: &'a Job) -> impl Iterator<Item = bool> + 'a {
        let is_idle = |step: &usize| {
            !self.is_at_limit(job, *step)
                && job.steps[*step].tasks.iter().all(|task| task.worker.is_none())
        };
        job.ready_steps().filter(is_idle).map(|step| job.submission.steps[step].is_gang)
    }
}
