//! Recovery of a pool's state from the journal rows in the store.
//!
//! The next page is requested before the last one is decoded. Rows are decoded and jobs are
//! restored a few after each batch of inputs, so that the leader stays responsive.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use common::Name;
use prost::Message;
use scheduler::{ChangeRecord, Job, Restored, Segment, StoredWorker};

use crate::action::Action;
use crate::event::log_event;
use crate::head::{JOURNAL_KEY_END, JOURNAL_KEY_PREFIX, POOL_TABLE};
use crate::node::Context;
use crate::store::{Page, Row};

/// Delay before a failed read is retried.
const READ_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Timeout of a read of one page.
const READ_TIMEOUT: Duration = Duration::from_millis(2500);

/// Bytes of rows after which decoding continues after the next batch of inputs.
const DECODED_BYTES_PER_BATCH: usize = 64 * 1024;

/// Most jobs that are restored after each batch of inputs.
const RESTORED_JOBS_PER_BATCH: usize = 250;

/// A recovery under way.
#[derive(Debug)]
pub(crate) struct Recovery {
    /// Call number of the read under way.
    pending_read: Option<u64>,
    /// First key of the next page.
    next_key: Name,
    /// Earliest time of the next read.
    retry_at: Duration,
    /// Whether the last page has been received.
    has_all_pages: bool,
    /// Rows received but not decoded yet.
    undecoded: VecDeque<Row>,
    /// Key and size of each decoded row, in order.
    rows: Vec<(Name, usize)>,
    /// Jobs that the decoded rows give and that are not restored yet.
    jobs: BTreeMap<Name, RecoveredJob>,
    is_done: bool,
}

/// A job that was read from the journal.
#[derive(Debug)]
pub(crate) struct RecoveredJob {
    /// Key of the row with its latest full record.
    pub row: Name,
    /// Size of that record and the changes since, in bytes.
    pub size: usize,
    /// Its state.
    pub job: Job,
}

impl Recovery {
    /// Starts to read the journal rows.
    pub fn start(ctx: &mut Context) -> Self {
        let mut recovery = Self {
            pending_read: None,
            next_key: Name::new(JOURNAL_KEY_PREFIX),
            retry_at: ctx.now,
            has_all_pages: false,
            undecoded: VecDeque::new(),
            rows: Vec::new(),
            jobs: BTreeMap::new(),
            is_done: false,
        };
        recovery.read_if_due(ctx);
        recovery
    }

    /// Whether all jobs have been restored.
    pub fn is_done(&self) -> bool {
        self.is_done
    }

    /// Requests the next page, unless one is pending or not due.
    pub fn read_if_due(&mut self, ctx: &mut Context) {
        if self.has_all_pages || self.pending_read.is_some() || ctx.now < self.retry_at {
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

    /// Queues a page's rows and requests the next one; without a page, retries later.
    pub fn handle_page(&mut self, ctx: &mut Context, call: u64, page: Option<Page>) {
        if self.pending_read != Some(call) {
            return;
        }
        self.pending_read = None;
        let Some(page) = page else {
            self.retry_at = ctx.now + READ_RETRY_DELAY;
            return;
        };
        self.has_all_pages = !page.has_more;
        if let Some(last) = page.rows.last() {
            self.next_key = Name::from(format!("{}\0", last.key).as_str());
        }
        self.undecoded.extend(page.rows);
        self.read_if_due(ctx);
    }

    /// Decodes some rows or, once all are decoded, returns some jobs to restore.
    pub fn advance(&mut self, ctx: &Context) -> Vec<(Name, RecoveredJob)> {
        let mut decoded = 0;
        while decoded < DECODED_BYTES_PER_BATCH {
            let Some(row) = self.undecoded.pop_front() else { break };
            decoded += row.value.len();
            self.rows.push((row.key.clone(), row.value.len()));
            match Segment::decode(&*row.value) {
                Ok(segment) => self.merge_segment(ctx, &row.key, segment),
                Err(error) => {
                    log_event!(ctx, RowIgnored, "key" => %row.key, "reason" => %error);
                }
            }
        }
        if decoded > 0 || !self.has_all_pages {
            return Vec::new();
        }
        let mut slice = Vec::new();
        while slice.len() < RESTORED_JOBS_PER_BATCH {
            let Some(job) = self.jobs.pop_first() else {
                self.is_done = true;
                break;
            };
            slice.push(job);
        }
        slice
    }

    /// Takes the key and size of each row.
    pub fn take_rows(&mut self) -> Vec<(Name, usize)> {
        std::mem::take(&mut self.rows)
    }

    /// Merges a row; rows come in write order.
    fn merge_segment(&mut self, ctx: &Context, row: &Name, segment: Segment) {
        segment.restore(|restored, size, workers| match restored {
            Restored::Job(job) => {
                let recovered = RecoveredJob { row: row.clone(), size, job };
                self.jobs.insert(recovered.job.id.clone(), recovered);
            }
            Restored::Change(change) => self.merge_change(ctx, row, change, size, workers),
            Restored::Invalid(id) => {
                log_event!(ctx, RowIgnored, "key" => id, "reason" => "job record is invalid");
            }
        });
    }

    /// Applies a change to its job.
    fn merge_change(
        &mut self,
        ctx: &Context,
        row: &Name,
        change: ChangeRecord,
        size: usize,
        workers: &[StoredWorker],
    ) {
        // The full record of a job that was removed goes before the changes in later rows.
        let Some(recovered) = self.jobs.get_mut(&*change.id) else { return };
        recovered.size += size;
        if !recovered.job.apply_states(change.states, workers) {
            log_event!(ctx, RowIgnored, "key" => %row, "reason" => "change of a job is invalid",
                "job" => change.id);
        }
    }
}
