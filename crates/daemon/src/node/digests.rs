//! Free capacity of every rack, as last reported by its owner.
//!
//! Digests may be stale; a stale one causes a refused reservation, never an overcommitted
//! worker.

use std::collections::BTreeMap;
use std::time::Instant;

use common::Name;
use rand::{Rng, RngExt};
use settings::quantity::Size;
use wire::{Digest, Slots};

/// Last digest of one rack.
#[derive(Debug, Clone, Default)]
pub struct Room {
    /// Owner of the rack, which sent the digest.
    pub owner: Name,
    /// Epoch of the owner's claim.
    pub epoch: u64,
    sequence: u64,
    /// Free capacity of the worker with the most.
    pub largest: Size,
    /// Free executor slots by service; estimated between digests.
    pub slots: BTreeMap<Name, u32>,
}

/// Last digests of all racks.
#[derive(Debug, Default)]
pub struct Digests {
    rooms: BTreeMap<Name, Room>,
}

/// Number of best-fitting racks to choose from at random.
const CHOICES: usize = 3;

impl Digests {
    /// Stores a digest; ignored unless newer than the stored one.
    pub fn learn(&mut self, owner: &Name, digest: &Digest) {
        let room = self.rooms.entry(Name::new(&digest.rack)).or_default();
        if (digest.epoch, digest.sequence) <= (room.epoch, room.sequence) {
            return;
        }
        let largest =
            Size { cpu: digest.cpu, memory: digest.memory, accelerators: digest.accelerators };
        let slots = digest.slots.iter().map(|slots| (Name::new(&slots.service), slots.free));
        *room = Room {
            owner: owner.clone(),
            epoch: digest.epoch,
            sequence: digest.sequence,
            largest,
            slots: slots.collect(),
        };
    }

    /// Picks an untried rack by best fit, at random among the tightest few.
    pub fn pick(&self, size: &Size, tried: &[Name], random: &mut impl Rng) -> Option<Name> {
        let open = self.rooms.iter();
        let open = open.filter(|(name, room)| size.fits(&room.largest) && !tried.contains(name));
        let mut open: Vec<_> = open.collect();
        open.sort_by_key(|(_, room)| room.largest.minus(size).cpu);
        choose(&open, random).map(|(name, _)| (*name).clone())
    }

    /// Picks any untried rack at random, regardless of its free capacity.
    pub fn pick_any(&self, tried: &[Name], random: &mut impl Rng) -> Option<Name> {
        let open: Vec<&Name> = self.rooms.keys().filter(|name| !tried.contains(name)).collect();
        if open.is_empty() {
            return None;
        }
        Some(open[random.random_range(0..open.len())].clone())
    }

    /// Picks an untried rack with a free slot: the better of two random ones.
    ///
    /// Subtracts the slot from the stored digest, so that the next request spreads out.
    pub fn pick_slot(
        &mut self,
        service: &str,
        tried: &[Name],
        random: &mut impl Rng,
    ) -> Option<Name> {
        let free = |room: &Room| room.slots.get(service).copied().unwrap_or(0);
        let open = self.rooms.iter();
        let open = open.filter(|(name, room)| free(room) > 0 && !tried.contains(name));
        let open: Vec<(&Name, u32)> = open.map(|(name, room)| (name, free(room))).collect();
        if open.is_empty() {
            return None;
        }
        let one = open[random.random_range(0..open.len())];
        let other = open[random.random_range(0..open.len())];
        let picked = if one.1 >= other.1 { one.0 } else { other.0 }.clone();
        if let Some(slots) =
            self.rooms.get_mut(&picked).and_then(|room| room.slots.get_mut(service))
        {
            *slots = slots.saturating_sub(1);
        }
        Some(picked)
    }

    /// Adds a freed slot to a rack's digest.
    pub fn freed(&mut self, rack: &str, service: &str) {
        if let Some(slots) = self.rooms.get_mut(rack).and_then(|room| room.slots.get_mut(service)) {
            *slots += 1;
        }
    }

    /// Marks a rack as having no free slot for a service.
    pub fn exhausted(&mut self, rack: &str, service: &str) {
        if let Some(slots) = self.rooms.get_mut(rack).and_then(|room| room.slots.get_mut(service)) {
            *slots = 0;
        }
    }
}

/// Picks at random among the first few entries; `None` if there are none.
fn choose<'o, T>(open: &'o [T], random: &mut impl Rng) -> Option<&'o T> {
    if open.is_empty() {
        return None;
    }
    open.get(random.random_range(0..open.len().min(CHOICES)))
}

/// Builds the digest of an owned rack.
pub fn digest(
    rack: &Name,
    epoch: u64,
    sequence: u64,
    state: &policy::Rack,
    now: Instant,
) -> Digest {
    let largest = state.largest_free(now);
    let slots = state.free_slots(now).into_iter();
    let slots = slots.map(|(service, free)| Slots { service: service.to_string(), free });
    Digest {
        rack: rack.to_string(),
        epoch,
        sequence,
        cpu: largest.cpu,
        memory: largest.memory,
        accelerators: largest.accelerators,
        slots: slots.collect(),
    }
}
