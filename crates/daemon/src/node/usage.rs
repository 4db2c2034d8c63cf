//! What each customer holds in the whole cell, from what the members tell each other.
//!
//! The figures lag by a heartbeat or so; quotas are therefore exact to within what a
//! customer can start in that time.

use std::collections::{BTreeMap, HashMap};

use common::Name;
use settings::quantity::Size;

common::data! {
    /// What one customer holds.
    #[derive(Copy, Default)]
    pub struct Usage {
        /// Size of its running tasks.
        pub size: Size,
        /// Its open requests.
        pub open: u32,
    }
}

impl Usage {
    /// Adds another part of the same customer's.
    pub fn add(&mut self, other: &Self) {
        self.size = self.size.plus(&other.size);
        self.open += other.open;
    }

    fn to_wire(self, customer: &Name) -> wire::Usage {
        wire::Usage {
            customer: customer.to_string(),
            cpu: self.size.cpu,
            memory: self.size.memory,
            accelerators: self.size.accelerators,
            open: self.open,
        }
    }

    fn from_wire(usage: &wire::Usage) -> Self {
        let size = Size { cpu: usage.cpu, memory: usage.memory, accelerators: usage.accelerators };
        Self { size, open: usage.open }
    }
}

/// What the customers hold, by member and in sum.
#[derive(Debug, Default)]
pub struct Usages {
    own: BTreeMap<Name, Usage>,
    told: BTreeMap<Name, Usage>,
    peers: HashMap<Name, HashMap<Name, Usage>>,
    total: HashMap<Name, Usage>,
}

impl Usages {
    /// What a customer holds in the whole cell.
    pub fn total(&self, customer: &Name) -> Usage {
        self.total.get(customer).copied().unwrap_or_default()
    }

    /// Replaces what our own homes account for.
    pub fn set_own(&mut self, own: BTreeMap<Name, Usage>) {
        self.own = own;
        self.sum();
    }

    /// The customers whose figures changed since the last call.
    pub fn changes(&mut self) -> Vec<wire::Usage> {
        let mut changed = Vec::new();
        for (customer, usage) in &self.own {
            if self.told.get(customer) != Some(usage) {
                changed.push(usage.to_wire(customer));
            }
        }
        for customer in self.told.keys().filter(|customer| !self.own.contains_key(*customer)) {
            changed.push(Usage::default().to_wire(customer));
        }
        self.told.clone_from(&self.own);
        changed
    }

    /// Every figure of ours, for a peer that has just connected.
    pub fn all(&self) -> Vec<wire::Usage> {
        self.own.iter().map(|(customer, usage)| usage.to_wire(customer)).collect()
    }

    /// Takes a peer's changed figures.
    pub fn learn(&mut self, peer: &Name, usages: &[wire::Usage]) {
        if usages.is_empty() {
            return;
        }
        let known = self.peers.entry(peer.clone()).or_default();
        for usage in usages {
            known.insert(Name::new(&usage.customer), Usage::from_wire(usage));
        }
        self.sum();
    }

    /// Forgets a peer that is no member any more.
    pub fn forget(&mut self, peer: &Name) {
        self.peers.remove(peer);
        self.sum();
    }

    fn sum(&mut self) {
        let mut total: HashMap<Name, Usage> = HashMap::new();
        let others = self.peers.values().flatten();
        for (customer, usage) in others.chain(self.own.iter()) {
            total.entry(customer.clone()).or_default().add(usage);
        }
        self.total = total;
    }
}
