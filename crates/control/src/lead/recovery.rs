//! Reading a pool's state back from the store.

use std::time::Duration;

use common::Name;
use prost::Message;
use scheduler::{Job, JobRecord, Scheduler};

use crate::action::Action;
use crate::event::note;
use crate::head::{JOB, JOB_END, TABLE};
use crate::node::Port;
use crate::store::Page;

/// Pause before a read that failed is made again.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// How long a read may take.
const READ_TIMEOUT: Duration = Duration::from_millis(2500);

/// A recovery under way.
#[derive(Debug)]
pub(crate) struct Recovery {
    call: Option<u64>,
    from: Name,
    retry_at: Duration,
    is_done: bool,
}

impl Recovery {
    /// Begins to read the job rows.
    pub fn begin(port: &mut Port) -> Self {
        let from = Name::new(JOB);
        let mut recovery = Self { call: None, from, retry_at: port.now, is_done: false };
        recovery.tick(port);
        recovery
    }

    /// Whether all rows were read.
    pub fn is_done(&self) -> bool {
        self.is_done
    }

    /// Reads the next page, if it is due.
    pub fn tick(&mut self, port: &mut Port) {
        if self.is_done || self.call.is_some() || port.now < self.retry_at {
            return;
        }
        let call = port.call();
        self.call = Some(call);
        port.out.push(Action::Read {
            call,
            table: TABLE,
            from: self.from.clone(),
            to: Name::new(JOB_END),
            timeout: READ_TIMEOUT,
        });
    }

    /// Takes a page; returns its jobs.
    pub fn read(
        &mut self,
        port: &mut Port,
        call: u64,
        page: Option<Page>,
    ) -> Option<Vec<JobRecord>> {
        if self.call != Some(call) {
            return None;
        }
        self.call = None;
        let Some(page) = page else {
            self.retry_at = port.now + RETRY_PAUSE;
            return None;
        };
        self.is_done = !page.has_more;
        if let Some(last) = page.rows.last() {
            self.from = Name::from(format!("{}\0", last.key).as_str());
        }
        let mut records = Vec::with_capacity(page.rows.len());
        for row in page.rows {
            match JobRecord::decode(&*row.value) {
                Ok(record) => records.push(record),
                Err(error) => {
                    note!(port, RowIgnored, "key" => %row.key, "reason" => %error);
                }
            }
        }
        Some(records)
    }
}

/// Takes a stored job back in.
pub(crate) fn restore(
    port: &Port,
    scheduler: &mut Scheduler,
    record: JobRecord,
    arrived: Duration,
) {
    let id = record.submission.id.clone();
    match Job::from_record(record, arrived) {
        Some(job) => scheduler.admit(job),
        None => note!(port, RowIgnored, "key" => id, "reason" => "steps and states differ"),
    }
}
