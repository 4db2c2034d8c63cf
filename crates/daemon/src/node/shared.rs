//! State shared by all parts of the node: settings, members, ownership, free capacity, time.

use std::time::Instant;

use common::Name;
use jiff::Timestamp;
use rand::rngs::StdRng;

use super::claims::{Claims, Scope};
use super::digests::Digests;
use super::membership::{LEASE_MARGIN, Membership};
use super::retries::Retries;
use super::store::Store;
use super::usage::Usages;
use super::versions::Versions;

/// State shared by the homes, the racks and the entry of callers' requests.
#[derive(Debug)]
pub struct Shared {
    /// Settings of the daemon.
    pub config: settings::Daemon,
    /// Inventory and rules in force.
    pub versions: Versions,
    /// Free capacity of the racks.
    pub digests: Digests,
    /// Ownership of partitions and racks.
    pub claims: Claims,
    /// Members of the cell.
    pub membership: Membership,
    /// Resources in use by customer.
    pub usages: Usages,
    /// Limits on the use of the table.
    pub store: Store,
    /// Retry budgets by customer and peer.
    pub retries: Retries,
    /// Random generator for jitter and sampling.
    pub random: StdRng,
    /// Monotonic time of the current turn of the loop.
    pub now: Instant,
    /// Wall clock, in Unix microseconds.
    pub wall_us: u64,
    /// Whether a connected majority of the members agrees that the table is down.
    pub is_outage_agreed: bool,
}

impl Shared {
    /// Name of this member.
    pub fn own_name(&self) -> &Name {
        &self.config.member
    }

    /// Wall clock, in Unix milliseconds.
    pub fn wall_ms(&self) -> i64 {
        (self.wall_us / 1000).cast_signed()
    }

    /// Wall clock as a timestamp; the Unix epoch if out of range.
    pub fn wall(&self) -> Timestamp {
        Timestamp::from_microsecond(self.wall_us.cast_signed()).unwrap_or(Timestamp::UNIX_EPOCH)
    }

    /// Whether this daemon may act as owner of its scopes now.
    ///
    /// Without the table no claim can be committed, so ownership outlives the lease while a
    /// majority agrees that the table is down.
    pub fn can_act_as_owner(&self) -> bool {
        self.membership.is_valid(self.now) || self.is_outage_agreed
    }

    /// Whether the settings in force are confirmed recently enough to act on them.
    pub fn has_confirmed_settings(&self) -> bool {
        let age = self.versions.age(self.now);
        let is_fresh = age.is_some_and(|age| age <= self.config.timing.max_confirmation_age);
        self.versions.is_complete() && (is_fresh || self.is_outage_agreed)
    }

    /// Member that owns a rack; `None` if unknown or released.
    pub fn rack_owner(&self, rack: &Name) -> Option<Name> {
        self.owner_of(&Scope::Rack(rack.clone()))
    }

    /// Epoch of a rack's current owner; `None` if unknown or released.
    pub fn rack_epoch(&self, rack: &Name) -> Option<u64> {
        let row = self.claims.owner(&Scope::Rack(rack.clone()));
        row.map(|row| row.owner.epoch)
    }

    /// Member that owns a scope; `None` if unknown or released.
    pub fn owner_of(&self, scope: &Scope) -> Option<Name> {
        self.claims.owner(scope).and_then(|row| row.owner.member.clone())
    }

    /// Time after a claim by which every task lease of earlier owners has expired.
    pub fn max_inherited_lease(&self) -> std::time::Duration {
        self.config.timing.task_lease + LEASE_MARGIN * 4
    }
}
