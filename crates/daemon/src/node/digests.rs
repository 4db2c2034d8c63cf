//! Free capacity of every rack, as last reported by its owner.
//!
//! Digests may be stale; a stale one causes a refused reservation, never an overcommitted
//! worker.

use std::collections::BTreeMap;
use std::time::Instant;

use common::Name;
use rand::{Rng, RngExt};
use settings::quantity::Resources;
use wire::{Digest, Slots};

/// Last digest of one rack.
#[derive(Debug, Clone, Default)]
pub struct RackDigest {
    /// Owner of the rack, which sent the digest.
    pub owner: Name,
    /// Epoch of the owner's claim.
    pub epoch: u64,
    sequence: u64,
    /// Free capacity of the worker with the most.
    pub largest: Resources,
    /// Free executor slots by service; estimated between digests.
    pub slots: BTreeMap<Name, u32>,
}

/// Last digests of all racks.
#[derive(Debug, Default)]
pub struct Digests {
    racks: BTreeMap<Name, RackDigest>,
}

/// Number of best-fitting racks to choose from at random.
const MAX_CHOICES: usize = 3;

impl Digests {
    /// Stores a digest; ignored unless newer than the stored one.
    pub fn update(&mut self, owner: &Name, digest: &Digest) {
        let known = self.racks.entry(Name::new(&digest.rack)).or_default();
        if (digest.epoch, digest.sequence) <= (known.epoch, known.sequence) {
            return;
        }
        let largest =
            Resources { cpu: digest.cpu, memory: digest.memory, accelerators: digest.accelerators };
        let slots = digest.slots.iter().map(|slots| (Name::new(&slots.service), slots.free));
        *known = RackDigest {
            owner: owner.clone(),
            epoch: digest.epoch,
            sequence: digest.sequence,
            largest,
            slots: slots.collect(),
        };
    }

    /// Picks an untried rack by best fit, at random among the tightest few.
    pub fn choose(&self, size: &Resources, tried: &[Name], random: &mut impl Rng) -> Option<Name> {
        let candidates = self.racks.iter();
        let candidates =
            candidates.filter(|(name, rack)| size.fits_in(&rack.largest) && !tried.contains(name));
        let mut candidates: Vec<_> = candidates.collect();
        candidates.sort_by_key(|(_, rack)| rack.largest.minus(size).cpu);
        choose_among_first(&candidates, random).map(|(name, _)| (*name).clone())
    }

    /// Picks any untried rack at random, regardless of its free capacity.
    pub fn choose_any(&self, tried: &[Name], random: &mut impl Rng) -> Option<Name> {
        let candidates: Vec<&Name> =
            self.racks.keys().filter(|name| !tried.contains(name)).collect();
        if candidates.is_empty() {
            return None;
        }
        Some(candidates[random.random_range(0..candidates.len())].clone())
    }

    /// Picks an untried rack with a free slot: the better of two random ones.
    ///
    /// Subtracts the slot from the stored digest, so that the next request spreads out.
    pub fn choose_slot(
        &mut self,
        service: &str,
        tried: &[Name],
        random: &mut impl Rng,
    ) -> Option<Name> {
        let free = |rack: &RackDigest| rack.slots.get(service).copied().unwrap_or(0);
        let candidates = self.racks.iter();
        let candidates = candidates.filter(|(name, rack)| free(rack) > 0 && !tried.contains(name));
        let candidates: Vec<(&Name, u32)> =
            candidates.map(|(name, rack)| (name, free(rack))).collect();
        if candidates.is_empty() {
            return None;
        }
        let first = candidates[random.random_range(0..candidates.len())];
        let second = candidates[random.random_range(0..candidates.len())];
        let chosen = if first.1 >= second.1 { first.0 } else { second.0 }.clone();
        if let Some(slots) =
            self.racks.get_mut(&chosen).and_then(|known| known.slots.get_mut(service))
        {
            *slots = slots.saturating_sub(1);
        }
        Some(chosen)
    }

    /// Adds a freed slot to a rack's digest.
    pub fn release_slot(&mut self, rack: &str, service: &str) {
        if let Some(slots) = self.racks.get_mut(rack).and_then(|known| known.slots.get_mut(service))
        {
            *slots += 1;
        }
    }

    /// Marks a rack as having no free slot for a service.
    pub fn clear_slots(&mut self, rack: &str, service: &str) {
        if let Some(slots) = self.racks.get_mut(rack).and_then(|known| known.slots.get_mut(service))
        {
            *slots = 0;
        }
    }
}

/// Picks at random among the first few entries; `None` if there are none.
fn choose_among_first<'o, T>(candidates: &'o [T], random: &mut impl Rng) -> Option<&'o T> {
    if candidates.is_empty() {
        return None;
    }
    candidates.get(random.random_range(0..candidates.len().min(MAX_CHOICES)))
}

/// Builds the digest of an owned rack.
pub fn build_digest(
    rack: &Name,
    epoch: u64,
    sequence: u64,
    state: &policy::Rack,
    now: Instant,
) -> Digest {
    let largest = state.largest_free_capacity(now);
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
