//! Journals of the owned partitions: recovery, group commit, snapshots and compaction.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use border::objects::{Done, Object};
use border::table::{Commit, Committed, Query, Row, Rows, Transaction};
use common::Name;
use journal::log::Step;
use journal::snapshot::{self, Head};
use journal::{Log, segment};
use rand::Rng;
use stakker::{CX, ret_nop, ret_some_to};

use super::Node;
use super::claims::{Claim, Scope};
use super::home::Home;
use super::store::Priority;
use crate::event::Event;

/// Shortest interval between two segments of one partition.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);

/// Delay before a segment is resent whose reply was lost.
const RESEND_PAUSE: Duration = Duration::from_millis(400);

/// Number of segments after which a snapshot is written.
const SNAPSHOT_SEGMENTS: u64 = 64;

/// Most segments deleted in one transaction after a snapshot.
const GARBAGE_AT_ONCE: usize = 10;

/// How long answers are kept for repeated requests, in milliseconds.
const ANSWERS_KEPT_MS: i64 = 24 * 3_600_000;

/// Journals of the owned partitions, by partition number.
pub(super) type Journals = HashMap<u32, Journal>;

/// Rows read during the recovery of a partition.
struct Recovery {
    claim: Claim,
    head: Head,
    head_version: u64,
    rows: Vec<(Name, String)>,
}

/// Snapshot being written to the object store and then to the head row.
#[derive(Debug, Clone)]
struct Compaction {
    partition: u32,
    claim: Claim,
    head: Head,
    /// Object of the previous snapshot, deleted afterwards.
    old: Option<Name>,
    /// First segment that the new snapshot covers.
    from: u64,
}

/// Compaction state of one partition's journal.
#[derive(Debug, Default)]
pub(super) struct Journal {
    head: Head,
    head_version: u64,
    is_compacting: bool,
    /// Sequence numbers of covered segments that are not deleted yet.
    garbage: VecDeque<u64>,
    is_cleaning: bool,
    /// Whether the head row must be read again before the next compaction.
    needs_look: bool,
}

impl Node {
    // Recovery.

    /// Reads a partition's journal; called after the partition is claimed.
    pub(super) fn recover(&mut self, cx: CX![], partition: u32) {
        let Some(claim) = self.shared.claims.held(&Scope::Partition(partition)) else {
            return;
        };
        self.recovering.insert(partition);
        let query = Query {
            keys: vec![Name::from(snapshot::head_key(partition))],
            prefixes: vec![Name::from(segment::prefix(partition))],
        };
        self.shared.store.note_read(1, self.shared.now);
        let ret = ret_some_to!([cx], journal_read(partition, claim) as (Rows));
        self.borders.table.read(query, ret);
    }

    fn is_still_recovering(&self, partition: u32, claim: Claim) -> bool {
        let held = self.shared.claims.held(&Scope::Partition(partition));
        held == Some(claim) && self.recovering.contains(&partition)
    }

    fn journal_read(&mut self, cx: CX![], partition: u32, claim: Claim, answer: Rows) {
        self.touch(cx);
        self.note_table(answer.is_ok());
        if !self.is_still_recovering(partition, claim) {
            return;
        }
        let Ok(rows) = answer else {
            return self.recover(cx, partition);
        };
        self.shared.store.note_read(rows.len(), self.shared.now);
        let head_key = snapshot::head_key(partition);
        let head_row = rows.iter().find(|row| *row.key == *head_key);
        let head = match head_row.map(|row| serde_json::from_str::<Head>(&row.value)) {
            None => Head::default(),
            Some(Ok(head)) => head,
            Some(Err(error)) => return self.refuse_recovery(partition, &error.to_string()),
        };
        let recovery = Recovery {
            claim,
            head_version: head_row.map_or(0, |row| row.version),
            rows: segments(&rows, &head_key),
            head,
        };
        match recovery.head.object.clone() {
            None => self.recovered(cx, partition, recovery, None),
            Some(object) => {
                let ret = ret_some_to!([cx], snapshot_read(partition, recovery) as (Object));
                self.borders.objects.get(object, ret);
            }
        }
    }

    fn snapshot_read(&mut self, cx: CX![], partition: u32, recovery: Recovery, answer: Object) {
        self.touch(cx);
        if !self.is_still_recovering(partition, recovery.claim) {
            return;
        }
        match answer {
            Ok(object) => self.recovered(cx, partition, recovery, object),
            Err(_) => self.recover(cx, partition),
        }
    }

    /// Rebuilds the book and starts serving the partition.
    fn recovered(
        &mut self,
        cx: CX![],
        partition: u32,
        recovery: Recovery,
        object: Option<Vec<u8>>,
    ) {
        let Recovery { claim, head, head_version, rows } = recovery;
        let (book, next) = match snapshot::recover(&head, object.as_deref(), &rows) {
            Ok(recovered) => recovered,
            Err(error) => return self.refuse_recovery(partition, &error.to_string()),
        };
        let scope = Scope::Partition(partition);
        let log = Log::new(partition, claim.epoch, scope.key(), claim.version, next);
        let mut home = Home::new(partition, claim, log, book, &self.shared);
        home.is_closing = self.closing.contains_key(&scope);
        home.segments = next - head.next;
        let old = rows.iter().filter_map(|(key, _)| segment::sequence(key));
        let garbage = old.filter(|sequence| *sequence < head.next).collect();
        let journal = Journal { head, head_version, garbage, ..Journal::default() };
        let detail = format!("{scope}: {} requests", home.book().len());
        self.homes.insert(partition, home);
        self.journals.insert(partition, journal);
        self.recovering.remove(&partition);
        self.note(Event::ScopeReady, detail);
        self.perform(cx);
    }

    /// Logs a failed recovery; the partition is not served and its rows are not changed.
    fn refuse_recovery(&mut self, partition: u32, reason: &str) {
        self.note(Event::RecoveryFailed, format!("partition {partition}: {reason}"));
    }

    // Group commit.

    /// Sends the pending segments that are due.
    pub(super) fn flush_journals(&mut self, cx: CX![]) {
        let partitions: Vec<u32> = self.homes.keys().copied().collect();
        for partition in partitions {
            self.flush(cx, partition);
        }
    }

    fn flush(&mut self, cx: CX![], partition: u32) {
        let now = self.shared.now;
        let Some(home) = self.homes.get_mut(&partition) else {
            return;
        };
        let at = if home.log().is_flying() {
            match self.resend_at.get(&partition) {
                Some(at) => *at,
                None => return,
            }
        } else if home.log().is_waiting() {
            self.flush_at.get(&partition).copied().unwrap_or(now)
        } else {
            return;
        };
        if at > now {
            return;
        }
        if !self.shared.store.may_write(1, Priority::Journal, now, &mut self.shared.random) {
            return;
        }
        let transaction = if home.log().is_flying() {
            home.log().resend()
        } else {
            home.take_segment(self.shared.random.next_u64())
        };
        let Some(transaction) = transaction else { return };
        self.resend_at.remove(&partition);
        self.flush_at.insert(partition, now + FLUSH_INTERVAL);
        let claim = home.claim();
        let ret = ret_some_to!([cx], segment_committed(partition, claim, now) as (Committed));
        self.borders.table.commit(transaction, ret);
    }

    fn segment_committed(
        &mut self,
        cx: CX![],
        partition: u32,
        claim: Claim,
        sent: Instant,
        answer: Committed,
    ) {
        self.touch(cx);
        self.note_table(answer.is_ok());
        self.metrics.commit(self.shared.now.saturating_duration_since(sent));
        let step = self.with_log(partition, claim, |log| log.answer(answer.as_ref().ok()));
        self.follow_step(cx, partition, claim, step);
    }

    /// Runs a closure on the partition's log; `None` if the claim has changed.
    fn with_log<T>(
        &mut self,
        partition: u32,
        claim: Claim,
        run: impl FnOnce(&mut Log) -> T,
    ) -> Option<T> {
        let home = self.homes.get_mut(&partition).filter(|home| home.claim() == claim)?;
        Some(run(home.log()))
    }

    fn follow_step(&mut self, cx: CX![], partition: u32, claim: Claim, step: Option<Step>) {
        match step {
            None => return,
            Some(Step::Durable(tokens)) => {
                if let Some(home) = self.homes.get_mut(&partition) {
                    home.landed(&mut self.shared, tokens);
                }
                self.maybe_compact(cx, partition);
            }
            Some(Step::Resend) => {
                self.resend_at.insert(partition, self.shared.now + RESEND_PAUSE);
            }
            Some(Step::Read(query)) => {
                self.shared.store.note_read(2, self.shared.now);
                let ret = ret_some_to!([cx], segment_read(partition, claim) as (Rows));
                self.borders.table.read(query, ret);
            }
            Some(Step::Fenced) => self.lose_scope(cx, &Scope::Partition(partition)),
        }
        self.perform(cx);
    }

    fn segment_read(&mut self, cx: CX![], partition: u32, claim: Claim, answer: Rows) {
        self.touch(cx);
        self.note_table(answer.is_ok());
        let step = self.with_log(partition, claim, |log| match &answer {
            Ok(rows) => log.settle(rows),
            Err(_) => Step::Resend,
        });
        self.follow_step(cx, partition, claim, step);
    }

    // Snapshots.

    /// Starts a compaction if enough segments have been written.
    fn maybe_compact(&mut self, cx: CX![], partition: u32) {
        let Some(home) = self.homes.get_mut(&partition) else { return };
        let Some(journal) = self.journals.get_mut(&partition) else { return };
        if home.segments < SNAPSHOT_SEGMENTS || journal.is_compacting {
            return;
        }
        journal.is_compacting = true;
        home.prune(self.shared.wall_ms() - ANSWERS_KEPT_MS);
        let claim = home.claim();
        let next = home.log().next();
        let (bytes, crc) = snapshot::encode(home.book());
        let object = Name::from(snapshot::object_key(partition, claim.epoch, next));
        let head = Head { version: snapshot::VERSION, object: Some(object.clone()), crc, next };
        let old = journal.head.object.clone();
        let compaction = Compaction { partition, claim, head, old, from: journal.head.next };
        home.segments = 0;
        let ret = ret_some_to!([cx], snapshot_written(compaction) as (Done));
        self.borders.objects.put(object, bytes, ret);
    }

    fn snapshot_written(&mut self, cx: CX![], compaction: Compaction, answer: Done) {
        self.touch(cx);
        if let Err(error) = answer {
            return self.compaction_failed(&compaction, &error.to_string());
        }
        let Some(journal) = self.journals.get(&compaction.partition) else {
            return;
        };
        let scope = Scope::Partition(compaction.partition);
        let key = snapshot::head_key(compaction.partition);
        let value = serde_json::to_string(&compaction.head).unwrap_or_default();
        let transaction = Transaction::default()
            .check(scope.key(), compaction.claim.version)
            .check(key.clone(), journal.head_version)
            .put(key, value);
        let now = self.shared.now;
        self.shared.store.may_write(1, Priority::Ownership, now, &mut self.shared.random);
        let ret = ret_some_to!([cx], head_written(compaction) as (Committed));
        self.borders.table.commit(transaction, ret);
    }

    fn head_written(&mut self, cx: CX![], compaction: Compaction, answer: Committed) {
        self.touch(cx);
        self.note_table(answer.is_ok());
        let committed = match answer {
            Ok(Commit { committed: true, version, .. }) => version,
            Ok(_) => return self.compaction_failed(&compaction, "the head row moved"),
            Err(error) => return self.compaction_failed(&compaction, &error.to_string()),
        };
        let Some(journal) = self.journals.get_mut(&compaction.partition) else {
            return;
        };
        journal.garbage.extend(compaction.from..compaction.head.next);
        journal.head = compaction.head;
        journal.head_version = committed;
        journal.is_compacting = false;
        let detail = format!("partition {} up to {}", compaction.partition, journal.head.next);
        self.note(Event::Compacted, detail);
        if let Some(old) = compaction.old {
            // If the deletion fails, the old object only takes up space.
            self.borders.objects.delete(old, ret_nop!());
        }
    }

    /// Logs a failed compaction and schedules a retry; the old head and all segments remain.
    fn compaction_failed(&mut self, compaction: &Compaction, reason: &str) {
        let partition = compaction.partition;
        self.note(Event::CompactionFailed, format!("partition {partition}: {reason}"));
        // The head row may have changed: it is read again before the retry.
        if let Some(journal) = self.journals.get_mut(&partition) {
            journal.needs_look = true;
        }
    }

    /// Deletes segments that a snapshot covers, within the write budget.
    pub(super) fn clean_journals(&mut self, cx: CX![]) {
        let partitions: Vec<u32> = self.journals.keys().copied().collect();
        for partition in partitions {
            self.look_at_head(cx, partition);
            self.clean(cx, partition);
        }
    }

    fn look_at_head(&mut self, cx: CX![], partition: u32) {
        let Some(journal) = self.journals.get_mut(&partition) else { return };
        if !journal.needs_look || !self.shared.store.may_read(1, self.shared.now) {
            return;
        }
        journal.needs_look = false;
        let query =
            Query { keys: vec![Name::from(snapshot::head_key(partition))], ..Query::default() };
        let ret = ret_some_to!([cx], head_read(partition) as (Rows));
        self.borders.table.read(query, ret);
    }

    fn head_read(&mut self, cx: CX![], partition: u32, answer: Rows) {
        self.touch(cx);
        self.note_table(answer.is_ok());
        let Some(journal) = self.journals.get_mut(&partition) else { return };
        let Ok(rows) = answer else {
            journal.needs_look = true;
            return;
        };
        let row: Option<&Row> = rows.first();
        let head = row.and_then(|row| serde_json::from_str::<Head>(&row.value).ok());
        if let Some(head) = head {
            let covered = journal.head.next..head.next;
            journal.garbage.extend(covered);
            journal.head = head;
            journal.head_version = row.map_or(0, |row| row.version);
        }
        journal.is_compacting = false;
        if let Some(home) = self.homes.get_mut(&partition) {
            let next = home.log().next();
            home.segments = next.saturating_sub(journal.head.next);
        }
    }

    fn clean(&mut self, cx: CX![], partition: u32) {
        let Some(claim) = self.homes.get(&partition).map(Home::claim) else {
            return;
        };
        let Some(journal) = self.journals.get_mut(&partition) else { return };
        let count = journal.garbage.len().min(GARBAGE_AT_ONCE);
        if journal.is_cleaning || count == 0 {
            return;
        }
        let now = self.shared.now;
        if !self.shared.store.may_write(count, Priority::Snapshot, now, &mut self.shared.random) {
            return;
        }
        journal.is_cleaning = true;
        let scope = Scope::Partition(partition);
        let mut transaction = Transaction::default().check(scope.key(), claim.version);
        for sequence in journal.garbage.iter().take(count) {
            transaction = transaction.delete(segment::key(partition, *sequence));
        }
        let ret = ret_some_to!([cx], cleaned(partition, count) as (Committed));
        self.borders.table.commit(transaction, ret);
    }

    fn cleaned(&mut self, cx: CX![], partition: u32, count: usize, answer: Committed) {
        self.touch(cx);
        self.note_table(answer.is_ok());
        let Some(journal) = self.journals.get_mut(&partition) else { return };
        journal.is_cleaning = false;
        if answer.is_ok_and(|commit| commit.committed) {
            journal.garbage.drain(..count.min(journal.garbage.len()));
        }
    }
}

/// Returns the rows other than the head, sorted by key.
fn segments(rows: &[Row], head_key: &str) -> Vec<(Name, String)> {
    let segments = rows.iter().filter(|row| *row.key != *head_key);
    let mut segments: Vec<_> = segments.map(|row| (row.key.clone(), row.value.clone())).collect();
    segments.sort();
    segments
}
