//! What every part of the node reads: settings, members, ownership, free room, time.

use std::time::Instant;

use common::Name;
use jiff::Timestamp;
use rand::rngs::StdRng;

use super::claims::{Claims, Scope};
use super::digests::Digests;
use super::membership::{MARGIN, Membership};
use super::retries::Retries;
use super::store::Store;
use super::usage::Usages;
use super::versions::Versions;

/// State that the homes, racks and the gate share.
#[derive(Debug)]
pub struct Shared {
    /// The daemon's settings.
    pub config: settings::Daemon,
    /// Inventory and rules.
    pub versions: Versions,
    /// Free room of the racks.
    pub digests: Digests,
    /// Who owns what.
    pub claims: Claims,
    /// Who is a member.
    pub membership: Membership,
    /// What customers hold.
    pub usages: Usages,
    /// Access to the table.
    pub store: Store,
    /// Budgets of retries.
    pub retries: Retries,
    /// Jitter and sampling.
    pub random: StdRng,
    /// The loop's time.
    pub now: Instant,
    /// The wall clock, in microseconds since 1970.
    pub wall_us: u64,
    /// Whether a majority of the members is connected and has no table.
    pub is_outage_agreed: bool,
}

impl Shared {
    /// Our own name.
    pub fn me(&self) -> &Name {
        &self.config.member
    }

    /// The wall clock, in milliseconds since 1970.
    pub fn wall_ms(&self) -> i64 {
        (self.wall_us / 1000).cast_signed()
    }

    /// The wall clock.
    pub fn wall(&self) -> Timestamp {
        Timestamp::from_microsecond(self.wall_us.cast_signed()).unwrap_or(Timestamp::UNIX_EPOCH)
    }

    /// Whether our ownership may be acted on now.
    ///
    /// Nothing moves while a majority has no table, so ownership then outlives the lease.
    pub fn may_own(&self) -> bool {
        self.membership.is_valid(self.now) || self.is_outage_agreed
    }

    /// Whether the settings in force may be acted on now.
    pub fn may_decide(&self) -> bool {
        let age = self.versions.age(self.now);
        let is_fresh = age.is_some_and(|age| age <= self.config.timing.confirm);
        self.versions.is_complete() && (is_fresh || self.is_outage_agreed)
    }

    /// The member that owns a rack, as the table says.
    pub fn rack_owner(&self, rack: &Name) -> Option<Name> {
        self.owner_of(&Scope::Rack(rack.clone()))
    }

    /// The epoch of a rack's current owner.
    pub fn rack_epoch(&self, rack: &Name) -> Option<u64> {
        let entry = self.claims.owner(&Scope::Rack(rack.clone()));
        entry.map(|entry| entry.owner.epoch)
    }

    /// The member that owns a scope, as the table says.
    pub fn owner_of(&self, scope: &Scope) -> Option<Name> {
        self.claims.owner(scope).and_then(|entry| entry.owner.member.clone())
    }

    /// How long after a claim no lease of an earlier owner can be left on a worker.
    pub fn leases_gone(&self) -> std::time::Duration {
        self.config.timing.task_lease + MARGIN * 4
    }
}
