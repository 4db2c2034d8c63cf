//! Changes of inventory and rules: committed once, then put in force on every member.

use std::time::{Duration, Instant};

use border::table::{Committed, Query, Row, Rows};
use common::{Kind, Name};
use rand::Rng;
use serde_json::json;
use stakker::{CX, ret_some_to};
use wire::Body;

use super::store::Priority;
use super::versions::{HEAD, Head, check};
use super::{Errand, Node};
use crate::event::Event;
use crate::front::{self, Token};

/// Longest wait for an accepted change to be in force on all members.
const SPREAD_WAIT: Duration = Duration::from_secs(6);

/// Accepted change that is not yet in force on all members.
#[derive(Debug)]
pub(super) struct Applying {
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
        what: Name,
        base: u64,
        author: Name,
        text: String,
    ) {
        if let Err(faults) = check(&what, &text) {
            return self.refuse(token, Kind::Malformed, &faults);
        }
        if let Some(reason) = self.stale(&what, base) {
            return self.refuse(token, Kind::StaleVersion, &reason);
        }
        if !self.has_majority() {
            let text = "this daemon is not connected with a majority of the members";
            return self.refuse(token, Kind::Unconfirmed, text);
        }
        let now = self.shared.now;
        if !self.shared.store.may_write(2, Priority::Settings, now, &mut self.shared.random) {
            return self.refuse(token, Kind::StoreDown, "the table does not answer");
        }
        let at_ms = self.shared.wall_ms();
        let nonce = self.shared.random.next_u64();
        let (head, transaction) = self.shared.versions.change(&what, author, at_ms, nonce, text);
        let change = Change { token, head };
        let ret = ret_some_to!([cx], change_committed(change) as (Committed));
        self.borders.table.commit(transaction, ret);
    }

    /// Error text if the change is not based on the current version.
    fn stale(&self, what: &Name, base: u64) -> Option<String> {
        let current = self.shared.versions.version_of(what);
        if base == current {
            return None;
        }
        let head = &self.shared.versions.head;
        Some(format!(
            "{what} is at version {current}, not {base}; {} changed {} last",
            head.author, head.what
        ))
    }

    fn change_committed(&mut self, cx: CX![], change: Change, answer: Committed) {
        self.touch(cx);
        self.note_table(answer.is_ok());
        match answer {
            Ok(commit) if commit.committed => self.accepted(cx, change.token, change.head.version),
            Err(border::Error::Unsent { text }) => {
                self.refuse(change.token, Kind::StoreDown, &text);
            }
            // Conflict, or the write was committed and its reply was lost.
            _ => self.look_who_won(cx, change),
        }
        self.perform(cx);
    }

    /// Reads the head row to find out which change was committed.
    fn look_who_won(&mut self, cx: CX![], change: Change) {
        let query = Query { keys: vec![Name::new(HEAD)], prefixes: Vec::new() };
        self.shared.store.note_read(1, self.shared.now);
        let ret = ret_some_to!([cx], winner_read(change) as (Rows));
        self.borders.table.read(query, ret);
    }

    fn winner_read(&mut self, cx: CX![], change: Change, answer: Rows) {
        self.touch(cx);
        self.note_table(answer.is_ok());
        let found = answer.map(|rows| head_in(&rows).map(|(head, _)| head));
        match found {
            Ok(Some(head)) if head == change.head => {
                self.accepted(cx, change.token, head.version);
            }
            Ok(Some(head)) if head.version >= change.head.version => {
                let text = format!("{} changed {} at the same time", head.author, head.what);
                self.read_soon();
                self.refuse(change.token, Kind::StaleVersion, &text);
            }
            Ok(_) => self.refuse(change.token, Kind::StoreDown, "the change was not kept"),
            Err(_) => {
                let text = "the change may have been accepted; get the settings to see";
                self.refuse(change.token, Kind::Unknown, text);
            }
        }
        self.perform(cx);
    }

    fn accepted(&mut self, cx: CX![], token: Token, version: u64) {
        self.applies.push(Applying { token, version, since: self.shared.now });
        self.shared.versions.wanted = self.shared.versions.wanted.max(version);
        self.fetch_settings(cx);
        for peer in self.shared.membership.peers() {
            self.tell(cx, &peer.name, Body::Changed(wire::Changed::default()));
        }
    }

    /// Answers changes that are in force on all members or have timed out.
    pub(super) fn end_applies(&mut self) {
        let applies = std::mem::take(&mut self.applies);
        for applying in applies {
            let (have, lack) = self.spread_of(applying.version);
            let waited = self.shared.now.saturating_duration_since(applying.since);
            if !lack.is_empty() && waited < SPREAD_WAIT {
                self.applies.push(applying);
                continue;
            }
            self.metrics.settings_spread(waited);
            let body = json!({
                "version": applying.version,
                "in_force": have,
                "not_confirmed": lack,
                "after_ms": waited.as_millis() as u64,
            });
            self.borders.front.answer(applying.token, front::Answer { status: 200, body });
        }
    }

    /// Live members that have a version, and those not known to have it.
    fn spread_of(&self, version: u64) -> (Vec<Name>, Vec<Name>) {
        let has = |name: &Name| {
            if *name == *self.shared.me() {
                return self.shared.versions.head.version >= version;
            }
            self.peers.get(name).is_some_and(|heard| heard.settings >= version)
        };
        self.shared.membership.live().iter().cloned().partition(has)
    }

    // Fetching newer versions.

    /// Checks the head row that was read with the member rows.
    pub(super) fn settings_read(&mut self, cx: CX![], sent: Instant, rows: &[Row]) {
        let Some((head, _)) = head_in(rows) else { return };
        if head.version > self.shared.versions.head.version {
            self.shared.versions.wanted = self.shared.versions.wanted.max(head.version);
            self.fetch_settings(cx);
        } else if head.version == self.shared.versions.head.version {
            self.shared.versions.confirm(sent);
        }
    }

    /// Fetches the head and the files that it names.
    pub(super) fn fetch_settings(&mut self, cx: CX![]) {
        if self.schedule.is_on(Errand::Fetch) {
            return;
        }
        self.schedule.begin(Errand::Fetch);
        let now = self.shared.now;
        self.shared.store.note_read(1, now);
        let query = Query { keys: vec![Name::new(HEAD)], prefixes: Vec::new() };
        let ret = ret_some_to!([cx], head_fetched(now) as (Rows));
        self.borders.table.read(query, ret);
    }

    fn head_fetched(&mut self, cx: CX![], sent: Instant, answer: Rows) {
        self.touch(cx);
        self.schedule.end(Errand::Fetch);
        self.note_table(answer.is_ok());
        let Ok(rows) = answer else { return };
        let Some((head, row_version)) = head_in(&rows) else { return };
        let keys = self.shared.versions.missing(&head);
        if head.version <= self.shared.versions.head.version {
            return;
        }
        self.schedule.begin(Errand::Fetch);
        self.shared.store.note_read(keys.len(), self.shared.now);
        let query = Query { keys, prefixes: Vec::new() };
        let ret = ret_some_to!([cx], files_fetched(sent, head, row_version) as (Rows));
        self.borders.table.read(query, ret);
    }

    fn files_fetched(
        &mut self,
        cx: CX![],
        sent: Instant,
        head: Head,
        row_version: u64,
        answer: Rows,
    ) {
        self.touch(cx);
        self.schedule.end(Errand::Fetch);
        self.note_table(answer.is_ok());
        let Ok(rows) = answer else { return };
        let version = head.version;
        if let Err(error) = self.shared.versions.adopt(head, row_version, &rows) {
            self.note(Event::SettingsUnreadable, format!("version {version}: {error}"));
            return;
        }
        if self.shared.versions.head.version == version {
            self.shared.versions.confirm(sent);
            self.in_force();
            self.send_heartbeats(cx, Vec::new(), Vec::new());
        }
        self.perform(cx);
    }

    /// Applies newly adopted settings to the racks and the schedule.
    fn in_force(&mut self) {
        let head = &self.shared.versions.head;
        let detail = format!("version {} by {}", head.version, head.author);
        self.note(Event::SettingsInForce, detail);
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
fn head_in(rows: &[Row]) -> Option<(Head, u64)> {
    let row = rows.iter().find(|row| &*row.key == HEAD)?;
    let head = serde_json::from_str(&row.value).ok()?;
    Some((head, row.version))
}
