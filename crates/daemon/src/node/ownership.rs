//! Lease renewal, table reads, and claim and handover of scopes.

use std::time::{Duration, Instant};

use border::table::{CommitResult, Query, ReadResult, Transaction};
use common::Name;
use stakker::{CX, call, ret_some_to};
use wire::Body;

use super::allocator::Allocator;
use super::claims::{self, Plan, Scope};
use super::membership;
use super::peers::{DIGEST_INTERVAL, HEARTBEAT_INTERVAL};
use super::store::Priority;
use super::versions::HEAD_KEY;
use super::{Handover, Node, TableCall};
use crate::event::Event;

/// Interval between full reads of the ownership rows.
const CLAIMS_READ_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between reads of the list of VMs.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between updates of the customers' usage.
const USAGE_INTERVAL: Duration = Duration::from_secs(1);

impl Node {
    /// Starts the recurring work that is due.
    pub(super) fn run_due_work(&mut self, cx: CX![]) {
        let now = self.shared.now;
        let renew = self.shared.config.timing.member_renew_interval;
        if now >= self.schedule.renew && !self.schedule.is_in_flight(TableCall::Renewal) {
            self.schedule.renew = now + renew;
            self.renew_member(cx);
        }
        if now >= self.schedule.read && !self.schedule.is_in_flight(TableCall::Read) {
            self.schedule.read = now + renew;
            self.read_table(cx);
        }
        if now >= self.schedule.digest {
            self.schedule.digest = now + DIGEST_INTERVAL;
            self.send_due_updates(cx);
        }
        if now >= self.schedule.vm_list {
            self.schedule.vm_list = now + VM_LIST_INTERVAL;
            let ret = ret_some_to!([cx], on_vms_listed() as (border::fleet::ListResult));
            self.interfaces.vms.read(ret);
        }
    }

    /// Sends the peers changed digests and usage at once; otherwise a heartbeat when one is due.
    fn send_due_updates(&mut self, cx: CX![]) {
        let now = self.shared.now;
        let me = self.shared.own_name().clone();
        let mut digests = Vec::new();
        let peers = self.shared.membership.peers().len();
        for allocator in self.allocators.values_mut() {
            let cost = (allocator.last_digest_bytes() * peers) as f64;
            // A digest over the byte budget is sent on a later round.
            if !self.schedule.digest_bytes.try_take(cost, 0.0, now) {
                continue;
            }
            if let Some(digest) = allocator.take_due_digest(&self.shared) {
                self.shared.digests.update(&me, &digest);
                digests.push(digest);
            } else {
                self.schedule.digest_bytes.take_unchecked(-cost, now);
            }
        }
        let mut usages = Vec::new();
        if now >= self.schedule.usage {
            self.schedule.usage = now + USAGE_INTERVAL;
            self.update_usage();
            usages = self.shared.usages.take_changes();
        }
        let is_due = now >= self.schedule.heartbeat;
        if is_due || !digests.is_empty() || !usages.is_empty() {
            self.schedule.heartbeat = now + HEARTBEAT_INTERVAL;
            self.send_heartbeats(cx, digests, usages);
        }
    }

    // This daemon's member row.

    /// Writes the member row with its next beat.
    pub(super) fn renew_member(&mut self, cx: CX![]) {
        let now = self.shared.now;
        self.schedule.begin(TableCall::Renewal);
        let key = self.shared.membership.my_key();
        let row = self.shared.membership.next_row();
        let version = self.shared.membership.version;
        let transaction = Transaction::default().check(key.clone(), version).put(key, row);
        self.shared.store.take_write(1, Priority::Ownership, now, &mut self.shared.random);
        let ret = ret_some_to!([cx], on_member_renewed(now) as (CommitResult));
        self.interfaces.table.commit(transaction, ret);
    }

    fn on_member_renewed(&mut self, cx: CX![], sent: Instant, result: CommitResult) {
        self.update_clock(cx);
        self.schedule.end(TableCall::Renewal);
        self.record_table_result(result.is_ok());
        match result {
            Ok(commit) if commit.committed => {
                self.shared.membership.record_renewal(sent, commit.version);
            }
            Ok(_) => self.reread_member_row(cx),
            Err(_) => {}
        }
    }

    /// Reads the member row after a renewal conflict.
    ///
    /// Either the reply to an earlier renewal was lost, or another incarnation wrote the row.
    fn reread_member_row(&mut self, cx: CX![]) {
        let key = self.shared.membership.my_key();
        let query = Query { keys: vec![key], prefixes: Vec::new() };
        self.shared.store.charge_read(1, self.shared.now);
        let ret = ret_some_to!([cx], on_member_row_read() as (ReadResult));
        self.interfaces.table.read(query, ret);
    }

    fn on_member_row_read(&mut self, cx: CX![], result: ReadResult) {
        self.update_clock(cx);
        self.record_table_result(result.is_ok());
        let Ok(rows) = result else { return };
        let me = self.shared.membership.own_member().clone();
        let row = rows.first();
        let found = row.and_then(|row| serde_json::from_str::<membership::Member>(&row.value).ok());
        let version = row.map_or(0, |row| row.version);
        match found {
            Some(found) if found.incarnation > me.incarnation => {
                self.log_event(Event::Superseded, found.incarnation);
                cx.fail_str("replaced by another incarnation of this member");
            }
            _ => {
                self.shared.membership.version = version;
                self.schedule.renew = self.shared.now;
            }
        }
    }

    /// Records whether a table call succeeded; logs when the table goes down or recovers.
    pub(super) fn record_table_result(&mut self, is_ok: bool) {
        let now = self.shared.now;
        let change = self.shared.store.record_result(is_ok, now, &mut self.shared.random);
        match change {
            Some(true) => self.log_event(Event::TableResponsive, ""),
            Some(false) => self.log_event(Event::TableUnresponsive, ""),
            None => {}
        }
    }

    // Rows of all members.

    /// Schedules a read of the table for the next tick.
    pub(super) fn schedule_table_read(&mut self) {
        self.schedule.read = self.schedule.read.min(self.shared.now);
        self.schedule.claims_read = self.shared.now;
    }

    fn read_table(&mut self, cx: CX![]) {
        let now = self.shared.now;
        self.schedule.begin(TableCall::Read);
        let mut prefixes = vec![Name::new(membership::PREFIX)];
        let with_claims = now >= self.schedule.claims_read;
        if with_claims {
            self.schedule.claims_read = now + CLAIMS_READ_INTERVAL;
            prefixes.push(Name::new(claims::PREFIX));
        }
        let query = Query { keys: vec![Name::new(HEAD_KEY)], prefixes };
        let rows = 1 + self.shared.membership.live().len();
        self.shared.store.charge_read(rows, now);
        let ret = ret_some_to!([cx], on_table_read(now, with_claims) as (ReadResult));
        self.interfaces.table.read(query, ret);
    }

    fn on_table_read(&mut self, cx: CX![], sent: Instant, with_claims: bool, result: ReadResult) {
        self.update_clock(cx);
        self.schedule.end(TableCall::Read);
        self.record_table_result(result.is_ok());
        let Ok(rows) = result else { return };
        self.check_settings_head(cx, sent, &rows);
        let members: Vec<_> =
            rows.iter().filter(|row| row.key.starts_with(membership::PREFIX)).cloned().collect();
        self.apply_member_rows(&members);
        let owners: Vec<_> =
            rows.iter().filter(|row| row.key.starts_with(claims::PREFIX)).cloned().collect();
        if with_claims {
            self.shared.store.charge_read(owners.len(), self.shared.now);
        }
        for scope in self.shared.claims.apply_rows(&owners) {
            self.lose_scope(cx, &scope);
        }
        if with_claims {
            self.plan_ownership(cx);
        }
        self.perform_actions(cx);
    }

    /// Applies the member rows and updates the mesh's peers and the table budget.
    fn apply_member_rows(&mut self, rows: &[border::table::Row]) {
        let change = self.shared.membership.apply_rows(rows, self.shared.now);
        if change.joined.is_empty() && change.gone.is_empty() {
            return;
        }
        for name in &change.joined {
            self.log_event(Event::MemberJoined, name);
        }
        for name in &change.gone {
            self.log_event(Event::MemberExpired, name);
            self.shared.usages.remove_peer(name);
        }
        let peers = self.shared.membership.peers();
        let members = peers.len() + 1;
        self.interfaces.mesh.set_peers(peers);
        self.shared.store.set_member_count(members);
        self.schedule.read = self.shared.now;
        self.schedule.claims_read = self.shared.now;
    }

    /// Lists all partitions and racks of the cell.
    fn scopes(&self) -> Vec<Scope> {
        let partitions = (0..self.shared.config.partition_count).map(Scope::Partition);
        let racks = self.shared.versions.inventory.racks.keys().cloned().map(Scope::Rack);
        partitions.chain(racks).collect()
    }

    /// Claims and releases scopes; called only right after a read of the ownership rows.
    fn plan_ownership(&mut self, cx: CX![]) {
        if !self.shared.membership.is_valid(self.shared.now) || !self.shared.versions.is_complete()
        {
            return;
        }
        let scopes = self.scopes();
        let Plan { claim, release } =
            self.shared.claims.plan(&scopes, &self.shared.membership, self.shared.now);
        if !claim.is_empty() && !self.schedule.is_in_flight(TableCall::Claim) {
            self.claim_scopes(cx, &claim);
        }
        for scope in release {
            self.begin_release(&scope);
        }
    }

    fn claim_scopes(&mut self, cx: CX![], scopes: &[Scope]) {
        self.schedule.begin(TableCall::Claim);
        let (transaction, epochs) =
            self.shared.claims.claim_transaction(scopes, &self.shared.membership);
        let now = self.shared.now;
        let rows = transaction.write_count();
        self.shared.store.take_write(rows, Priority::Ownership, now, &mut self.shared.random);
        let ret = ret_some_to!([cx], on_claimed(epochs) as (CommitResult));
        self.interfaces.table.commit(transaction, ret);
    }

    fn on_claimed(&mut self, cx: CX![], epochs: Vec<(Scope, u64)>, result: CommitResult) {
        self.update_clock(cx);
        self.schedule.end(TableCall::Claim);
        self.record_table_result(result.is_ok());
        let commit = match result {
            Ok(commit) if commit.committed => commit,
            // The reply was lost or another member won: the next read shows which.
            _ => return self.schedule_table_read(),
        };
        let me = self.shared.membership.own_member().clone();
        for (scope, epoch) in epochs {
            self.shared.claims.record_claim(scope.clone(), epoch, commit.version, &me);
            self.log_event(Event::ScopeClaimed, format!("{scope} epoch {epoch}"));
            self.activate_scope(cx, &scope);
        }
        self.schedule.claims_read = self.shared.now;
        self.notify_ownership_changed(cx);
        self.perform_actions(cx);
    }

    /// Starts serving a claimed scope.
    fn activate_scope(&mut self, cx: CX![], scope: &Scope) {
        let Some(claim) = self.shared.claims.held_claim(scope) else {
            return;
        };
        match scope {
            Scope::Partition(partition) => self.recover(cx, *partition),
            Scope::Rack(rack) => {
                let mut allocator = Allocator::new(rack.clone(), claim, &self.shared);
                let leaving = &self.leaving_vms;
                allocator.rack.set_leaving(|name| leaving.contains(name));
                self.allocators.insert(rack.clone(), allocator);
                self.log_event(Event::ScopeReady, scope);
            }
        }
    }

    /// Notifies the peers that the ownership rows changed.
    pub(super) fn notify_ownership_changed(&mut self, cx: CX![]) {
        for peer in self.shared.membership.peers() {
            self.notify(cx, &peer.name, Body::Changed(wire::Changed::default()));
        }
    }

    // Handover and loss.

    /// Stops a scope from taking new work before its release.
    fn begin_release(&mut self, scope: &Scope) {
        if self.handovers.contains_key(scope) {
            return;
        }
        self.handovers.insert(scope.clone(), Handover { is_release_sent: false });
        match scope {
            Scope::Partition(partition) => {
                if let Some(home) = self.homes.get_mut(partition) {
                    home.is_handing_over = true;
                }
            }
            Scope::Rack(rack) => {
                if let Some(allocator) = self.allocators.get_mut(rack) {
                    allocator.is_handing_over = true;
                }
            }
        }
    }

    /// Releases the scopes being handed over that have no work in progress.
    pub(super) fn continue_releases(&mut self, cx: CX![]) {
        let unsent = self.handovers.iter().filter(|(_, handover)| !handover.is_release_sent);
        let unsent: Vec<Scope> = unsent.map(|(scope, _)| scope.clone()).collect();
        for scope in unsent {
            if !self.can_release(&scope) {
                continue;
            }
            let Some(transaction) = self.shared.claims.release_transaction(&scope) else {
                self.handovers.remove(&scope);
                continue;
            };
            let now = self.shared.now;
            if !self.shared.store.take_write(1, Priority::Settings, now, &mut self.shared.random) {
                return;
            }
            self.handovers.insert(scope.clone(), Handover { is_release_sent: true });
            let ret = ret_some_to!([cx], on_released(scope) as (CommitResult));
            self.interfaces.table.commit(transaction, ret);
        }
    }

    /// Whether a scope has no work in progress, so that it can be released.
    fn can_release(&mut self, scope: &Scope) -> bool {
        match scope {
            Scope::Partition(partition) => {
                if self.recovering.contains(partition) {
                    return false;
                }
                self.homes.get(partition).is_none_or(super::Home::is_quiescent)
            }
            Scope::Rack(rack) => self.allocators.get(rack).is_none_or(Allocator::is_quiescent),
        }
    }

    fn on_released(&mut self, cx: CX![], scope: Scope, result: CommitResult) {
        self.update_clock(cx);
        self.record_table_result(result.is_ok());
        match result {
            Ok(commit) if commit.committed => {
                self.shared.claims.record_release(&scope, commit.version);
                self.log_event(Event::ScopeHandedOver, &scope);
                self.drop_scope(cx, &scope);
                self.notify_ownership_changed(cx);
            }
            // The next read of the rows shows whether the reply was lost or the write conflicted.
            _ => {
                self.handovers.insert(scope, Handover { is_release_sent: false });
                self.schedule_table_read();
            }
        }
        self.perform_actions(cx);
    }

    /// Drops a scope that another member has claimed.
    pub(super) fn lose_scope(&mut self, cx: CX![], scope: &Scope) {
        self.log_event(Event::ScopeLost, scope);
        self.shared.claims.remove_lost(scope);
        self.drop_scope(cx, scope);
    }

    /// Drops the state of a scope and tells waiting callers that it moved.
    fn drop_scope(&mut self, cx: CX![], scope: &Scope) {
        self.handovers.remove(scope);
        match scope {
            Scope::Partition(partition) => {
                self.recovering.remove(partition);
                if let Some(home) = self.homes.remove(partition) {
                    self.drop_home(cx, home);
                }
            }
            Scope::Rack(rack) => {
                self.allocators.remove(rack);
            }
        }
    }

    fn on_vms_listed(&mut self, cx: CX![], result: border::fleet::ListResult) {
        self.update_clock(cx);
        let Ok(vms) = result else { return };
        let leaving = vms.into_iter().filter(|vm| vm.leaving).map(|vm| vm.name);
        let leaving: std::collections::HashSet<Name> = leaving.collect();
        for name in leaving.difference(&self.leaving_vms) {
            self.log_event(Event::VmLeaving, name);
        }
        self.leaving_vms = leaving;
        for allocator in self.allocators.values_mut() {
            let leaving = &self.leaving_vms;
            allocator.rack.set_leaving(|name| leaving.contains(name));
        }
        call!([cx], perform_deferred());
    }

    fn perform_deferred(&mut self, cx: CX![]) {
        self.update_clock(cx);
        self.perform_actions(cx);
    }
}
