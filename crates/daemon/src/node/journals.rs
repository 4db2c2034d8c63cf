//! Journals of the owned partitions: recovery, group commit, snapshots and compaction.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use border::objects::{ReadResult as ObjectReadResult, WriteResult};
use border::table::{CommitReply, CommitResult, Query, ReadResult, Row, Transaction};
use common::Name;
use journal::snapshot::{self, SnapshotHead};
use journal::writer::WriteAction;
use journal::{Writer, segment};
use rand::Rng;
use stakker::{CX, ret_nop, ret_some_to};

use super::Node;
use super::claims::{Claim, Scope};
use super::home::Home;
use super::store::Priority;
use crate::event::Event;

/// Shortest interval between two segments of one partition.
const MIN_FLUSH_INTERVAL: Duration = Duration::from_millis(100);

/// Delay before a segment is resent whose reply was lost.
const RESEND_DELAY: Duration = Duration::from_millis(400);

/// Number of segments after which a snapshot is written.
const SEGMENTS_PER_SNAPSHOT: u64 = 64;

/// Maximum number of segments deleted in one transaction after a snapshot.
const MAX_DELETES_PER_TRANSACTION: usize = 10;

/// How long answers are kept for repeated requests, in milliseconds.
const ANSWER_RETENTION_MS: i64 = 24 * 3_600_000;

/// Journals of the owned partitions, by partition number.
pub(super) type Journals = HashMap<u32, Journal>;

/// Rows read during the recovery of a partition.
struct Recovery {
    claim: Claim,
    head: SnapshotHead,
    head_version: u64,
    rows: Vec<(Name, String)>,
}

/// Snapshot being written to the object store and then to the head row.
#[derive(Debug, Clone)]
struct Compaction {
    partition: u32,
    claim: Claim,
    head: SnapshotHead,
    /// Object of the previous snapshot, deleted afterwards.
    old: Option<Name>,
    /// First segment that the new snapshot covers.
    from: u64,
}

/// Compaction state of one partition's journal.
#[derive(Debug, Default)]
pub(super) struct Journal {
    head: SnapshotHead,
    head_version: u64,
    is_compacting: bool,
    /// Sequence numbers of covered segments that are not deleted yet.
    covered_segments: VecDeque<u64>,
    is_deleting: bool,
    /// Whether the head row must be read again before the next compaction.
    needs_head_read: bool,
}

impl Node {
    // Recovery.

    /// Reads a partition's journal; called after the partition is claimed.
    pub(super) fn recover(&mut self, cx: CX![], partition: u32) {
        let Some(claim) = self.shared.claims.held_claim(&Scope::Partition(partition)) else {
            return;
        };
        self.recovering.insert(partition);
        let query = Query {
            keys: vec![Name::from(snapshot::head_key(partition))],
            prefixes: vec![Name::from(segment::key_prefix(partition))],
        };
        self.shared.store.charge_read(1, self.shared.now);
        let ret = ret_some_to!([cx], on_journal_read(partition, claim) as (ReadResult));
        self.interfaces.table.read(query, ret);
    }

    fn is_still_recovering(&self, partition: u32, claim: Claim) -> bool {
        let held = self.shared.claims.held_claim(&Scope::Partition(partition));
        held == Some(claim) && self.recovering.contains(&partition)
    }

    fn on_journal_read(&mut self, cx: CX![], partition: u32, claim: Claim, result: ReadResult) {
        self.update_clock(cx);
        self.record_table_result(result.is_ok());
        if !self.is_still_recovering(partition, claim) {
            return;
        }
        let Ok(rows) = result else {
            return self.recover(cx, partition);
        };
        self.shared.store.charge_read(rows.len(), self.shared.now);
        let head_key = snapshot::head_key(partition);
        let head_row = rows.iter().find(|row| *row.key == *head_key);
        let head = match head_row.map(|row| serde_json::from_str::<SnapshotHead>(&row.value)) {
            None => SnapshotHead::default(),
            Some(Ok(head)) => head,
            Some(Err(error)) => return self.log_failed_recovery(partition, &error.to_string()),
        };
        let recovery = Recovery {
            claim,
            head_version: head_row.map_or(0, |row| row.version),
            rows: segment_rows(&rows, &head_key),
            head,
        };
        match recovery.head.object.clone() {
            None => self.finish_recovery(cx, partition, recovery, None),
            Some(object) => {
                let ret =
                    ret_some_to!([cx], on_snapshot_read(partition, recovery) as (ObjectReadResult));
                self.interfaces.objects.get(object, ret);
            }
        }
    }

    fn on_snapshot_read(
        &mut self,
        cx: CX![],
        partition: u32,
        recovery: Recovery,
        result: ObjectReadResult,
    ) {
        self.update_clock(cx);
        if !self.is_still_recovering(partition, recovery.claim) {
            return;
        }
        match result {
            Ok(object) => self.finish_recovery(cx, partition, recovery, object),
            Err(_) => self.recover(cx, partition),
        }
    }

    /// Rebuilds the request table and starts serving the partition.
    fn finish_recovery(
        &mut self,
        cx: CX![],
        partition: u32,
        recovery: Recovery,
        object: Option<Vec<u8>>,
    ) {
        let Recovery { claim, head, head_version, rows } = recovery;
        let (request_table, next) = match snapshot::recover(&head, object.as_deref(), &rows) {
            Ok(recovered) => recovered,
            Err(error) => return self.log_failed_recovery(partition, &error.to_string()),
        };
        let scope = Scope::Partition(partition);
        let writer = Writer::new(partition, claim.epoch, scope.key(), claim.version, next);
        let mut home = Home::new(partition, claim, writer, request_table, &self.shared);
        home.is_handing_over = self.handovers.contains_key(&scope);
        home.segments = next - head.next;
        let old = rows.iter().filter_map(|(key, _)| segment::parse_sequence(key));
        let covered_segments = old.filter(|sequence| *sequence < head.next).collect();
        let journal = Journal { head, head_version, covered_segments, ..Journal::default() };
        let detail = format!("{scope}: {} requests", home.request_table().len());
        self.homes.insert(partition, home);
        self.journals.insert(partition, journal);
        self.recovering.remove(&partition);
        self.log_event(Event::ScopeReady, detail);
        self.perform_actions(cx);
    }

    /// Logs a failed recovery; the partition is not served and its rows are not changed.
    fn log_failed_recovery(&mut self, partition: u32, reason: &str) {
        self.log_event(Event::RecoveryFailed, format!("partition {partition}: {reason}"));
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
        let at = if home.writer().is_in_flight() {
            match self.resend_at.get(&partition) {
                Some(at) => *at,
                None => return,
            }
        } else if home.writer().has_pending_events() {
            self.flush_at.get(&partition).copied().unwrap_or(now)
        } else {
            return;
        };
        if at > now {
            return;
        }
        if !self.shared.store.take_write(1, Priority::Journal, now, &mut self.shared.random) {
            return;
        }
        let transaction = if home.writer().is_in_flight() {
            home.writer().in_flight_transaction()
        } else {
            home.take_segment(self.shared.random.next_u64())
        };
        let Some(transaction) = transaction else { return };
        self.resend_at.remove(&partition);
        self.flush_at.insert(partition, now + MIN_FLUSH_INTERVAL);
        let claim = home.claim();
        let ret = ret_some_to!([cx], on_segment_committed(partition, claim, now) as (CommitResult));
        self.interfaces.table.commit(transaction, ret);
    }

    fn on_segment_committed(
        &mut self,
        cx: CX![],
        partition: u32,
        claim: Claim,
        sent: Instant,
        result: CommitResult,
    ) {
        self.update_clock(cx);
        self.record_table_result(result.is_ok());
        self.metrics.record_commit(self.shared.now.saturating_duration_since(sent));
        let action = self.with_writer(partition, claim, |writer| {
            writer.handle_commit_reply(result.as_ref().ok())
        });
        self.handle_write_action(cx, partition, claim, action);
    }

    /// Runs a closure on the partition's writer; `None` if the claim has changed.
    fn with_writer<T>(
        &mut self,
        partition: u32,
        claim: Claim,
        run: impl FnOnce(&mut Writer) -> T,
    ) -> Option<T> {
        let home = self.homes.get_mut(&partition).filter(|home| home.claim() == claim)?;
        Some(run(home.writer()))
    }

    fn handle_write_action(
        &mut self,
        cx: CX![],
        partition: u32,
        claim: Claim,
        action: Option<WriteAction>,
    ) {
        match action {
            None => return,
            Some(WriteAction::Durable(tokens)) => {
                if let Some(home) = self.homes.get_mut(&partition) {
                    home.handle_durable(&mut self.shared, tokens);
                }
                self.compact_if_due(cx, partition);
            }
            Some(WriteAction::Resend) => {
                self.resend_at.insert(partition, self.shared.now + RESEND_DELAY);
            }
            Some(WriteAction::Read(query)) => {
                self.shared.store.charge_read(2, self.shared.now);
                let ret = ret_some_to!([cx], on_segment_read(partition, claim) as (ReadResult));
                self.interfaces.table.read(query, ret);
            }
            Some(WriteAction::Fenced) => self.lose_scope(cx, &Scope::Partition(partition)),
        }
        self.perform_actions(cx);
    }

    fn on_segment_read(&mut self, cx: CX![], partition: u32, claim: Claim, result: ReadResult) {
        self.update_clock(cx);
        self.record_table_result(result.is_ok());
        let action = self.with_writer(partition, claim, |writer| match &result {
            Ok(rows) => writer.resolve_conflict(rows),
            Err(_) => WriteAction::Resend,
        });
        self.handle_write_action(cx, partition, claim, action);
    }

    // Snapshots.

    /// Starts a compaction if enough segments have been written.
    fn compact_if_due(&mut self, cx: CX![], partition: u32) {
        let Some(home) = self.homes.get_mut(&partition) else { return };
        let Some(journal) = self.journals.get_mut(&partition) else { return };
        if home.segments < SEGMENTS_PER_SNAPSHOT || journal.is_compacting {
            return;
        }
        journal.is_compacting = true;
        home.remove_answered_before(self.shared.wall_ms() - ANSWER_RETENTION_MS);
        let claim = home.claim();
        let next = home.writer().next_sequence();
        let (bytes, crc) = snapshot::encode(home.request_table());
        let object = Name::from(snapshot::object_key(partition, claim.epoch, next));
        let head = SnapshotHead {
            version: snapshot::FORMAT_VERSION,
            object: Some(object.clone()),
            crc,
            next,
        };
        let old = journal.head.object.clone();
        let compaction = Compaction { partition, claim, head, old, from: journal.head.next };
        home.segments = 0;
        let ret = ret_some_to!([cx], on_snapshot_written(compaction) as (WriteResult));
        self.interfaces.objects.put(object, bytes, ret);
    }

    fn on_snapshot_written(&mut self, cx: CX![], compaction: Compaction, result: WriteResult) {
        self.update_clock(cx);
        if let Err(error) = result {
            return self.abort_compaction(&compaction, &error.to_string());
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
        self.shared.store.take_write(1, Priority::Ownership, now, &mut self.shared.random);
        let ret = ret_some_to!([cx], on_head_written(compaction) as (CommitResult));
        self.interfaces.table.commit(transaction, ret);
    }

    fn on_head_written(&mut self, cx: CX![], compaction: Compaction, result: CommitResult) {
        self.update_clock(cx);
        self.record_table_result(result.is_ok());
        let committed = match result {
            Ok(CommitReply { committed: true, version, .. }) => version,
            Ok(_) => return self.abort_compaction(&compaction, "the head row has changed"),
            Err(error) => return self.abort_compaction(&compaction, &error.to_string()),
        };
        let Some(journal) = self.journals.get_mut(&compaction.partition) else {
            return;
        };
        journal.covered_segments.extend(compaction.from..compaction.head.next);
        journal.head = compaction.head;
        journal.head_version = committed;
        journal.is_compacting = false;
        let detail = format!("partition {} up to {}", compaction.partition, journal.head.next);
        self.log_event(Event::Compacted, detail);
        if let Some(old) = compaction.old {
            // If the deletion fails, the old object only takes up space.
            self.interfaces.objects.delete(old, ret_nop!());
        }
    }

    /// Logs a failed compaction and schedules a retry; the old head and all segments remain.
    fn abort_compaction(&mut self, compaction: &Compaction, reason: &str) {
        let partition = compaction.partition;
        self.log_event(Event::CompactionFailed, format!("partition {partition}: {reason}"));
        // The head row may have changed: it is read again before the retry.
        if let Some(journal) = self.journals.get_mut(&partition) {
            journal.needs_head_read = true;
        }
    }

    /// Deletes segments that a snapshot covers, within the write budget.
    pub(super) fn delete_covered_segments(&mut self, cx: CX![]) {
        let partitions: Vec<u32> = self.journals.keys().copied().collect();
        for partition in partitions {
            self.reread_head(cx, partition);
            self.delete_segments(cx, partition);
        }
    }

    fn reread_head(&mut self, cx: CX![], partition: u32) {
        let Some(journal) = self.journals.get_mut(&partition) else { return };
        if !journal.needs_head_read || !self.shared.store.take_read(1, self.shared.now) {
            return;
        }
        journal.needs_head_read = false;
        let query =
            Query { keys: vec![Name::from(snapshot::head_key(partition))], ..Query::default() };
        let ret = ret_some_to!([cx], on_head_read(partition) as (ReadResult));
        self.interfaces.table.read(query, ret);
    }

    fn on_head_read(&mut self, cx: CX![], partition: u32, result: ReadResult) {
        self.update_clock(cx);
        self.record_table_result(result.is_ok());
        let Some(journal) = self.journals.get_mut(&partition) else { return };
        let Ok(rows) = result else {
            journal.needs_head_read = true;
            return;
        };
        let row: Option<&Row> = rows.first();
        let head = row.and_then(|row| serde_json::from_str::<SnapshotHead>(&row.value).ok());
        if let Some(head) = head {
            let covered = journal.head.next..head.next;
            journal.covered_segments.extend(covered);
            journal.head = head;
            journal.head_version = row.map_or(0, |row| row.version);
        }
        journal.is_compacting = false;
        if let Some(home) = self.homes.get_mut(&partition) {
            let next = home.writer().next_sequence();
            home.segments = next.saturating_sub(journal.head.next);
        }
    }

    fn delete_segments(&mut self, cx: CX![], partition: u32) {
        let Some(claim) = self.homes.get(&partition).map(Home::claim) else {
            return;
        };
        let Some(journal) = self.journals.get_mut(&partition) else { return };
        let count = journal.covered_segments.len().min(MAX_DELETES_PER_TRANSACTION);
        if journal.is_deleting || count == 0 {
            return;
        }
        let now = self.shared.now;
        if !self.shared.store.take_write(count, Priority::Snapshot, now, &mut self.shared.random) {
            return;
        }
        journal.is_deleting = true;
        let scope = Scope::Partition(partition);
        let mut transaction = Transaction::default().check(scope.key(), claim.version);
        for sequence in journal.covered_segments.iter().take(count) {
            transaction = transaction.delete(segment::segment_key(partition, *sequence));
        }
        let ret = ret_some_to!([cx], on_segments_deleted(partition, count) as (CommitResult));
        self.interfaces.table.commit(transaction, ret);
    }

    fn on_segments_deleted(
        &mut self,
        cx: CX![],
        partition: u32,
        count: usize,
        result: CommitResult,
    ) {
        self.update_clock(cx);
        self.record_table_result(result.is_ok());
        let Some(journal) = self.journals.get_mut(&partition) else { return };
        journal.is_deleting = false;
        if result.is_ok_and(|commit| commit.committed) {
            journal.covered_segments.drain(..count.min(journal.covered_segments.len()));
        }
    }
}

/// Returns the rows other than the head, sorted by key.
fn segment_rows(rows: &[Row], head_key: &str) -> Vec<(Name, String)> {
    let segments = rows.iter().filter(|row| *row.key != *head_key);
    let mut segments: Vec<_> = segments.map(|row| (row.key.clone(), row.value.clone())).collect();
    segments.sort();
    segments
}
