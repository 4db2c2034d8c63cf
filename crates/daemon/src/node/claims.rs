//! Ownership of scopes: one table row per scope, changed only by conditional writes.
//!
//! A scope is a partition of the requests or a rack. Rendezvous hashing over the live
//! members proposes an owner; the row is authoritative. A scope moves when its owner's
//! lease has expired, or when the owner hands it over because hashing proposes another.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::{Duration, Instant};

use border::table::{Row, Transaction};
use common::Name;
use policy::rendezvous;

use super::membership::Membership;

/// Key prefix of the ownership rows.
pub const PREFIX: &str = "own/";

/// How long the set of live members must be unchanged before scopes are handed over.
const MIN_STABLE_TIME: Duration = Duration::from_secs(3);

/// Maximum number of scopes that one plan hands over, so that most of the work stays in place.
///
/// A leaving daemon hands over all its scopes at once.
const MAX_HANDOVERS_PER_PLAN: usize = 2;

/// Maximum number of scopes claimed in one transaction.
pub const MAX_CLAIMS_PER_TRANSACTION: usize = 32;

/// Unit of ownership; at most one daemon owns it at a time.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Scope {
    /// A partition of the requests.
    Partition(u32),
    /// A rack of workers.
    Rack(Name),
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Partition(number) => write!(f, "partition/{number:04}"),
            Self::Rack(name) => write!(f, "rack/{name}"),
        }
    }
}

impl Scope {
    /// Key of the scope's row.
    pub fn key(&self) -> Name {
        Name::from(format!("{PREFIX}{self}"))
    }

    fn from_key(key: &str) -> Option<Self> {
        let (kind, name) = key.strip_prefix(PREFIX)?.split_once('/')?;
        match kind {
            "partition" => name.parse().ok().map(Self::Partition),
            "rack" => Some(Self::Rack(Name::new(name))),
            _ => None,
        }
    }
}

common::record! {
    /// Value of an ownership row.
    pub struct Owner {
        /// Name of the owner; `None` if the scope was released and not yet claimed.
        pub member: Option<Name>,
        /// Incarnation of the owner; 0 after a release.
        pub incarnation: u64,
        /// Fencing token; incremented by every claim.
        pub epoch: u64,
    }
}

/// Ownership row as last read or written.
#[derive(Debug, Clone, PartialEq)]
pub struct OwnerRow {
    /// Owner and epoch in the row.
    pub owner: Owner,
    /// Table version of the row.
    pub version: u64,
}

/// Claim held by this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// Epoch of the claim, sent as the fencing token.
    pub epoch: u64,
    /// Table version of the ownership row; journal appends are conditional on it.
    pub version: u64,
}

/// Ownership changes to make now.
#[derive(Debug, Default)]
pub struct Plan {
    /// Scopes to claim.
    pub claim: Vec<Scope>,
    /// Held scopes to hand over.
    pub release: Vec<Scope>,
}

/// Ownership rows as last seen, and the claims that this daemon holds.
#[derive(Debug, Default)]
pub struct Claims {
    /// Newest known row of each scope.
    known_rows: HashMap<Scope, OwnerRow>,
    /// Claims of this daemon.
    held: BTreeMap<Scope, Claim>,
}

impl Claims {
    /// Applies rows read from the table; returns the held scopes that were lost.
    pub fn apply_rows(&mut self, rows: &[Row]) -> Vec<Scope> {
        for row in rows {
            let scope = Scope::from_key(&row.key);
            let owner: Option<Owner> = serde_json::from_str(&row.value).ok();
            if let (Some(scope), Some(owner)) = (scope, owner) {
                self.store_row(scope, OwnerRow { owner, version: row.version });
            }
        }
        let is_lost = |scope: &Scope, claim: &Claim| {
            self.known_rows.get(scope).is_some_and(|row| row.version > claim.version)
        };
        let lost = self.held.iter().filter(|(scope, claim)| is_lost(scope, claim));
        lost.map(|(scope, _)| scope.clone()).collect()
    }

    /// Keeps a row if it is newer than the known one.
    fn store_row(&mut self, scope: Scope, row: OwnerRow) {
        let is_newer = self.known_rows.get(&scope).is_none_or(|old| old.version < row.version);
        if is_newer {
            self.known_rows.insert(scope, row);
        }
    }

    /// Decides which scopes to claim and to hand over now.
    pub fn plan(&self, scopes: &[Scope], membership: &Membership, now: Instant) -> Plan {
        let staying = membership.staying();
        let me = &membership.own_member().name;
        let is_stable = now.saturating_duration_since(membership.changed_at) >= MIN_STABLE_TIME;
        let is_leaving = membership.own_member().is_leaving;
        let mut plan = Plan::default();
        for scope in scopes {
            let proposed = rendezvous::pick_member(&scope.to_string(), &staying);
            let is_ours = proposed == Some(me);
            if self.held.contains_key(scope) {
                // A leaving daemon hands over at once; others wait for stable membership.
                if !is_ours && proposed.is_some() && (is_stable || is_leaving) {
                    plan.release.push(scope.clone());
                }
            } else if self.is_unacknowledged_claim(scope, membership)
                || (is_ours && self.is_claimable(scope, membership, now))
            {
                plan.claim.push(scope.clone());
            }
        }
        plan.claim.truncate(MAX_CLAIMS_PER_TRANSACTION);
        if !is_leaving {
            plan.release.truncate(MAX_HANDOVERS_PER_PLAN);
        }
        plan
    }

    /// Whether the scope has no owner or its owner's lease has expired.
    fn is_claimable(&self, scope: &Scope, membership: &Membership, now: Instant) -> bool {
        let Some(row) = self.known_rows.get(scope) else {
            return true;
        };
        match &row.owner.member {
            None => true,
            Some(name) => !membership.may_hold_lease(name, row.owner.incarnation, now),
        }
    }

    /// Whether the row names this incarnation: a claim was committed but its reply was lost.
    ///
    /// No other member can claim such a scope, so it is claimed again even if hashing now
    /// proposes another member, and then handed over.
    fn is_unacknowledged_claim(&self, scope: &Scope, membership: &Membership) -> bool {
        let me = membership.own_member();
        let owner = self.owner(scope).map(|row| &row.owner);
        owner.is_some_and(|owner| {
            owner.member.as_ref() == Some(&me.name) && owner.incarnation == me.incarnation
        })
    }

    /// Builds the transaction that claims scopes; returns it with the new epochs.
    pub fn claim_transaction(
        &self,
        scopes: &[Scope],
        membership: &Membership,
    ) -> (Transaction, Vec<(Scope, u64)>) {
        let me = membership.own_member();
        let mut transaction = Transaction::default();
        let mut epochs = Vec::new();
        for scope in scopes {
            let old = self.known_rows.get(scope);
            let epoch = old.map_or(1, |row| row.owner.epoch + 1);
            let owner = Owner { member: Some(me.name.clone()), incarnation: me.incarnation, epoch };
            let value = serde_json::to_string(&owner).unwrap_or_default();
            let version = old.map_or(0, |row| row.version);
            transaction = transaction.check(scope.key(), version).put(scope.key(), value);
            epochs.push((scope.clone(), epoch));
        }
        (transaction, epochs)
    }

    /// Records a committed claim.
    pub fn record_claim(
        &mut self,
        scope: Scope,
        epoch: u64,
        version: u64,
        me: &super::membership::Member,
    ) {
        let owner = Owner { member: Some(me.name.clone()), incarnation: me.incarnation, epoch };
        self.store_row(scope.clone(), OwnerRow { owner, version });
        self.held.insert(scope, Claim { epoch, version });
    }

    /// Builds the transaction that releases a scope; `None` if it is not held.
    pub fn release_transaction(&self, scope: &Scope) -> Option<Transaction> {
        let claim = self.held.get(scope)?;
        let owner = Owner { member: None, incarnation: 0, epoch: claim.epoch };
        let value = serde_json::to_string(&owner).unwrap_or_default();
        Some(Transaction::default().check(scope.key(), claim.version).put(scope.key(), value))
    }

    /// Records a committed release.
    pub fn record_release(&mut self, scope: &Scope, version: u64) {
        if let Some(claim) = self.held.remove(scope) {
            let owner = Owner { member: None, incarnation: 0, epoch: claim.epoch };
            self.store_row(scope.clone(), OwnerRow { owner, version });
        }
    }

    /// Removes a held claim that another member's claim replaced.
    pub fn remove_lost(&mut self, scope: &Scope) {
        self.held.remove(scope);
    }

    /// Claim held on a scope; `None` if this daemon does not own it.
    pub fn held_claim(&self, scope: &Scope) -> Option<Claim> {
        self.held.get(scope).copied()
    }

    /// Scopes that this daemon holds.
    pub fn held_scopes(&self) -> impl Iterator<Item = &Scope> {
        self.held.keys()
    }

    /// Row of an owned scope; `None` if it is unknown or released.
    pub fn owner(&self, scope: &Scope) -> Option<&OwnerRow> {
        self.known_rows.get(scope).filter(|row| row.owner.member.is_some())
    }
}
