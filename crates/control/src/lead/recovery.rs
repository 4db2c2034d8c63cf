//! Recovery of a pool's state from the journal rows in the store.

use std::collections::BTreeMap;
use std::time::Duration;

use common::Name;
use prost::Message;
use scheduler::{Job, JobRecord, Scheduler, Segment};

use crate::action::Action;
use crate::event::log_event;
use crate::head::{JOURNAL_KEY_END, JOURNAL_KEY_PREFIX, POOL_TABLE};
use crate::node::Context;
use crate::store::Page;

/// Delay before a failed read is retried.
const READ_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Timeout of a read of one page.
const READ_TIMEOUT: Duration = Duration::from_millis(2500);

/// A recovery under way, read page by page.
#[derive(Debug)]
pub(crate) struct Recovery {
    /// Call number of the read under way.
    pending_read: Option<u64>,
    /// First key of the next page.
    next_key: Name,
    /// Earliest time of the next read.
    retry_at: Duration,
    is_done: bool,
    /// Content of the pages read so far.
    recovered: Recovered,
}

/// State read from the journal rows.
#[derive(Debug, Default)]
pub(crate) struct Recovered {
    /// Each job's latest record and the key of its row, by job id.
    pub jobs: BTreeMap<String, (Name, JobRecord)>,
    /// Keys of all rows, in order.
    pub rows: Vec<Name>,
}

impl Recovery {
    /// Starts to read the journal rows.
    pub fn start(ctx: &mut Context) -> Self {
        let next_key = Name::new(JOURNAL_KEY_PREFIX);
        let mut recovery = Self {
            pending_read: None,
            next_key,
            retry_at: ctx.now,
            is_done: false,
            recovered: Recovered::default(),
        };
        recovery.read_if_due(ctx);
        recovery
    }

    /// Whether all rows have been read.
    pub fn is_done(&self) -> bool {
        self.is_done
    }

    /// Requests the next page, unless one is pending or not due.
    pub fn read_if_due(&mut self, ctx: &mut Context) {
        if self.is_done || self.pending_read.is_some() || ctx.now < self.retry_at {
            return;
        }
        let call = ctx.next_call_id();
        self.pending_read = Some(call);
        ctx.actions.push(Action::Read {
            call,
            table: POOL_TABLE,
            from: self.next_key.clone(),
            to: Name::new(JOURNAL_KEY_END),
            timeout: READ_TIMEOUT,
        });
    }

    /// Adds a page; returns the whole state after the last one.
    pub fn handle_page(
        &mut self,
        ctx: &mut Context,
        call: u64,
        page: Option<Page>,
    ) -> Option<Recovered> {
        if self.pending_read != Some(call) {
            return None;
        }
        self.pending_read = None;
        let Some(page) = page else {
            self.retry_at = ctx.now + READ_RETRY_DELAY;
            return None;
        };
        self.is_done = !page.has_more;
        if let Some(last) = page.rows.last() {
            self.next_key = Name::from(format!("{}\0", last.key).as_str());
        }
        for row in page.rows {
            match Segment::decode(&*row.value) {
                Ok(segment) => self.merge_segment(row.key, segment),
                Err(error) => {
                    log_event!(ctx, RowIgnored, "key" => %row.key, "reason" => %error);
                }
            }
        }
        self.is_done.then(|| std::mem::take(&mut self.recovered))
    }

    /// Adds a row, whose records replace earlier ones; rows come in write order.
    fn merge_segment(&mut self, row: Name, segment: Segment) {
        for record in segment.jobs {
            let id = record.submission.id.clone();
            self.recovered.jobs.insert(id, (row.clone(), record));
        }
        self.recovered.rows.push(row);
    }
}

/// Admits a stored job to the scheduler; logs and skips invalid records.
pub(crate) fn restore_job(
    ctx: &Context,
    scheduler: &mut Scheduler,
    record: JobRecord,
    arrived: Duration,
) {
    let id = record.submission.id.clone();
    match Job::from_record(record, arrived) {
        Some(job) => scheduler.add_job(job),
        None => log_event!(ctx, RowIgnored, "key" => id, "reason" => "job record is invalid"),
    }
}
