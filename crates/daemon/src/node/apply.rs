//! Changes of inventory and rules: committed once, then put in force on every member.

use std::time::{Duration, Instant};

use border::table::{CommitResult, Query, ReadResult, Row};
use common::{ErrorKind, Name};
use rand::Rng;
use serde_json::json;
use stakker::{CX, ret_some_to};
use wire::Body;

use super::store::Priority;
use super::versions::{HEAD_KEY, Head, validate};
use super::{Node, TableCall};
use crate::event::Event;
use crate::front::{self, Token};

/// Longest wait for an accepted change to be in force on all members.
const MAX_SPREAD_WAIT: Duration = Duration::from_secs(6);

/// Accepted change that is not yet in force on all members.
#[derive(Debug)]
pub(super) struct PendingChange {
    token: Token,
    version: u64,
    since: Instant,
}

/// Change whose commit is in flight.
#[derive(Debug, Clone)]
struct Change {
    token: Token,
    head: Head,
}

impl Node {
    /// Validates and commits a changed file.
    pub(super) fn apply(
        &mut self,
        cx: CX![],
        token: Token,
        file: Name,
        base: u64,
        author: Name,
        text: String,
    ) {
        if let Err(errors) = validate(&file, &text) {
            return self.refuse(token, ErrorKind::Malformed, &errors);
        }
        if let Some(reason) = self.stale_reason(&file, base) {
            return self.refuse(token, ErrorKind::StaleVersion, &reason);
        }
        if !self.has_majority() {
            let text = "this daemon is not connected to a majority of the members";
            return self.refuse(token, ErrorKind::Unconfirmed, text);
        }
        let now = self.shared.now;
        if !self.shared.store.take_write(2, Priority::Settings, now, &mut self.shared.random) {
            return self.refuse(token, ErrorKind::StoreDown, "the table does not respond");
        }
        let at_ms = self.shared.wall_ms();
        let nonce = self.shared.random.next_u64();
        let (head, transaction) =
            self.shared.versions.build_change(&file, author, at_ms, nonce, text);
        let change = Change { token, head };
        let ret = ret_some_to!([cx], on_change_committed(change) as (CommitResult));
        self.interfaces.table.commit(transaction, ret);
    }

    /// Error text if the change is not based on the current version.
    fn stale_reason(&self, file: &Name, base: u64) -> Option<String> {
        let current = self.shared.versions.version_of(file);
        if base == current {
            return None;
        }
        let head = &self.shared.versions.head;
        Some(format!(
            "{file} is at version {current}, not {base}; last change: {} changed {}",
            head.author, head.what
        ))
    }

    fn on_change_committed(&mut self, cx: CX![], change: Change, result: CommitResult) {
        self.update_clock(cx);
        self.record_table_result(result.is_ok());
        match result {
            Ok(commit) if commit.committed => self.on_accept(cx, change.token, change.head.version),
            Err(border::Error::NotSent { text }) => {
                self.refuse(change.token, ErrorKind::StoreDown, &text);
            }
            // Conflict, or the write was committed and its reply was lost.
            _ => self.read_committed_head(cx, change),
        }
        self.perform_actions(cx);
    }

    /// Reads the head row to find out which change was committed.
    fn read_committed_head(&mut self, cx: CX![], change: Change) {
        let query = Query { keys: vec![Name::new(HEAD_KEY)], prefixes: Vec::new() };
        self.shared.store.charge_read(1, self.shared.now);
        let ret = ret_some_to!([cx], on_committed_head_read(change) as (ReadResult));
        self.interfaces.table.read(query, ret);
    }

    fn on_committed_head_read(&mut self, cx: CX![], change: Change, result: ReadResult) {
        self.update_clock(cx);
        self.record_table_result(result.is_ok());
        let found = result.map(|rows| find_head(&rows).map(|(head, _)| head));
        match found {
            Ok(Some(head)) if head == change.head => {
                self.on_accept(cx, change.token, head.version);
            }
            Ok(Some(head)) if head.version >= change.head.version => {
                let text = format!("{} changed {} at the same time", head.author, head.what);
                self.schedule_table_read();
                self.refuse(change.token, ErrorKind::StaleVersion, &text);
            }
            Ok(_) => {
                self.refuse(change.token, ErrorKind::StoreDown, "the change was not committed");
            }
            Err(_) => {
                let text = "the change may have been committed; get the settings to check";
                self.refuse(change.token, ErrorKind::Unknown, text);
            }
        }
        self.perform_actions(cx);
    }

    /// Registers an accepted change, fetches it and notifies the peers.
    fn on_accept(&mut self, cx: CX![], token: Token, version: u64) {
        self.pending_changes.push(PendingChange { token, version, since: self.shared.now });
        self.shared.versions.newest_known = self.shared.versions.newest_known.max(version);
        self.fetch_settings(cx);
        for peer in self.shared.membership.peers() {
            self.notify(cx, &peer.name, Body::Changed(wire::Changed::default()));
        }
    }

    /// Answers changes that are in force on all members or have timed out.
    pub(super) fn answer_pending_changes(&mut self) {
        let pending_changes = std::mem::take(&mut self.pending_changes);
        for pending in pending_changes {
            let (current_members, other_members) = self.members_by_version(pending.version);
            let waited = self.shared.now.saturating_duration_since(pending.since);
            if !other_members.is_empty() && waited < MAX_SPREAD_WAIT {
                self.pending_changes.push(pending);
                continue;
            }
            self.metrics.record_settings_spread(waited);
            let body = json!({
                "version": pending.version,
                "in_force": current_members,
                "not_confirmed": other_members,
                "after_ms": waited.as_millis() as u64,
            });
            self.interfaces.http.answer(pending.token, front::Answer { status: 200, body });
        }
    }

    /// Live members that have a version, and those not known to have it.
    fn members_by_version(&self, version: u64) -> (Vec<Name>, Vec<Name>) {
        let has = |name: &Name| {
            if *name == *self.shared.own_name() {
                return self.shared.versions.head.version >= version;
            }
            self.peers.get(name).is_some_and(|state| state.settings >= version)
        };
        self.shared.membership.live().iter().cloned().partition(has)
    }

    // Fetching newer versions.

    /// Checks the head row that was read with the member rows.
    pub(super) fn check_settings_head(&mut self, cx: CX![], sent: Instant, rows: &[Row]) {
        let Some((head, _)) = find_head(rows) else { return };
        if head.version > self.shared.versions.head.version {
            self.shared.versions.newest_known = self.shared.versions.newest_known.max(head.version);
            self.fetch_settings(cx);
        } else if head.version == self.shared.versions.head.version {
            self.shared.versions.confirm(sent);
        }
    }

    /// Fetches the head and the files that it names.
    pub(super) fn fetch_settings(&mut self, cx: CX![]) {
        if self.schedule.is_in_flight(TableCall::Fetch) {
            return;
        }
        self.schedule.begin(TableCall::Fetch);
        let now = self.shared.now;
        self.shared.store.charge_read(1, now);
        let query = Query { keys: vec![Name::new(HEAD_KEY)], prefixes: Vec::new() };
        let ret = ret_some_to!([cx], on_settings_head_read(now) as (ReadResult));
        self.interfaces.table.read(query, ret);
    }

    fn on_settings_head_read(&mut self, cx: CX![], sent: Instant, result: ReadResult) {
        self.update_clock(cx);
        self.schedule.end(TableCall::Fetch);
        self.record_table_result(result.is_ok());
        let Ok(rows) = result else { return };
        let Some((head, row_version)) = find_head(&rows) else { return };
        let keys = self.shared.versions.missing_keys(&head);
        if head.version <= self.shared.versions.head.version {
            return;
        }
        self.schedule.begin(TableCall::Fetch);
        self.shared.store.charge_read(keys.len(), self.shared.now);
        let query = Query { keys, prefixes: Vec::new() };
        let ret =
            ret_some_to!([cx], on_settings_files_read(sent, head, row_version) as (ReadResult));
        self.interfaces.table.read(query, ret);
    }

    fn on_settings_files_read(
        &mut self,
        cx: CX![],
        sent: Instant,
        head: Head,
        row_version: u64,
        result: ReadResult,
    ) {
        self.update_clock(cx);
        self.schedule.end(TableCall::Fetch);
        self.record_table_result(result.is_ok());
        let Ok(rows) = result else { return };
        let version = head.version;
        if let Err(error) = self.shared.versions.adopt(head, row_version, &rows) {
            self.log_event(Event::SettingsInvalid, format!("version {version}: {error}"));
            return;
        }
        if self.shared.versions.head.version == version {
            self.shared.versions.confirm(sent);
            self.on_settings_adopted();
            self.send_heartbeats(cx, Vec::new(), Vec::new());
        }
        self.perform_actions(cx);
    }

    /// Applies newly adopted settings to the racks and the schedule.
    fn on_settings_adopted(&mut self) {
        let head = &self.shared.versions.head;
        let detail = format!("version {} by {}", head.version, head.author);
        self.log_event(Event::SettingsInForce, detail);
        for allocator in self.allocators.values_mut() {
            allocator.set_inventory(&self.shared);
        }
        let leaving = &self.leaving_vms;
        for allocator in self.allocators.values_mut() {
            allocator.rack.set_leaving(|name| leaving.contains(name));
        }
        self.schedule.claims_read = self.shared.now;
        self.schedule.read = self.shared.now;
    }
}

/// Finds and parses the head row; returns it with its table version.
fn find_head(rows: &[Row]) -> Option<(Head, u64)> {
    let row = rows.iter().find(|row| &*row.key == HEAD_KEY)?;
    let head = serde_json::from_str(&row.value).ok()?;
    Some((head, row.version))
}
