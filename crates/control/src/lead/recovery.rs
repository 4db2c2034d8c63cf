//! Reading a pool's state back from the store's journal rows.

use std::collections::BTreeMap;
use std::time::Duration;

use common::Name;
use prost::Message;
use scheduler::{Job, JobRecord, Scheduler, Segment};

use crate::action::Action;
use crate::event::note;
use crate::head::{JOURNAL, JOURNAL_END, TABLE};
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
    state: Recovered,
}

/// What the rows say.
#[derive(Debug, Default)]
pub(crate) struct Recovered {
    /// Each job's latest record and the key of its row.
    pub jobs: BTreeMap<String, (Name, JobRecord)>,
    /// The keys of all rows.
    pub rows: Vec<Name>,
}

impl Recovery {
    /// Begins to read the rows.
    pub fn begin(port: &mut Port) -> Self {
        let from = Name::new(JOURNAL);
        let mut recovery = Self {
            call: None,
            from,
            retry_at: port.now,
            is_done: false,
            state: Recovered::default(),
        };
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
            to: Name::new(JOURNAL_END),
            timeout: READ_TIMEOUT,
        });
    }

    /// Takes a page; returns what all rows say once the last one was read.
    pub fn read(&mut self, port: &mut Port, call: u64, page: Option<Page>) -> Option<Recovered> {
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
        for row in page.rows {
            match Segment::decode(&*row.value) {
                Ok(segment) => self.take(row.key, segment),
                Err(error) => {
                    note!(port, RowIgnored, "key" => %row.key, "reason" => %error);
                }
            }
        }
        self.is_done.then(|| std::mem::take(&mut self.state))
    }

    /// Later rows come later, so their records replace earlier ones.
    fn take(&mut self, row: Name, segment: Segment) {
        for record in segment.jobs {
            let id = record.submission.id.clone();
            self.state.jobs.insert(id, (row.clone(), record));
        }
        self.state.rows.push(row);
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
