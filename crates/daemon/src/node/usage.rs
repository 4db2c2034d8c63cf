//! Resources that each customer uses in the whole cell, as reported between the members.
//!
//! The figures lag by about one heartbeat; a customer can exceed its quota by what it
//! starts in that time.

use std::collections::{BTreeMap, HashMap};

use common::Name;
use settings::quantity::Resources;

common::data! {
    /// Resources in use by one customer.
    #[derive(Copy, Default)]
    pub struct Usage {
        /// Total size of its running tasks.
        pub size: Resources,
        /// Number of its open requests.
        pub open: u32,
    }
}

impl Usage {
    /// Adds another part of the same customer's usage.
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
        let size =
            Resources { cpu: usage.cpu, memory: usage.memory, accelerators: usage.accelerators };
        Self { size, open: usage.open }
    }
}

/// Usage of all customers, by member and in total.
#[derive(Debug, Default)]
pub struct Usages {
    /// Usage of this daemon's homes.
    own: BTreeMap<Name, Usage>,
    /// Usage last sent to the peers.
    sent: BTreeMap<Name, Usage>,
    peers: HashMap<Name, HashMap<Name, Usage>>,
    total: HashMap<Name, Usage>,
}

impl Usages {
    /// Total usage of a customer in the cell.
    pub fn total(&self, customer: &Name) -> Usage {
        self.total.get(customer).copied().unwrap_or_default()
    }

    /// Replaces the usage of this daemon's homes.
    pub fn set_own(&mut self, own: BTreeMap<Name, Usage>) {
        self.own = own;
        self.update_total();
    }

    /// Returns the usages that changed since the last call; zero for customers that vanished.
    pub fn take_changes(&mut self) -> Vec<wire::Usage> {
        let mut changed = Vec::new();
        for (customer, usage) in &self.own {
            if self.sent.get(customer) != Some(usage) {
                changed.push(usage.to_wire(customer));
            }
        }
        for customer in self.sent.keys().filter(|customer| !self.own.contains_key(*customer)) {
            changed.push(Usage::default().to_wire(customer));
        }
        self.sent.clone_from(&self.own);
        changed
    }

    /// Usage of this daemon's homes, for a newly connected peer.
    pub fn own_usages(&self) -> Vec<wire::Usage> {
        self.own.iter().map(|(customer, usage)| usage.to_wire(customer)).collect()
    }

    /// Applies a peer's changed usages.
    pub fn update(&mut self, peer: &Name, usages: &[wire::Usage]) {
        if usages.is_empty() {
            return;
        }
        let known = self.peers.entry(peer.clone()).or_default();
        for usage in usages {
            known.insert(Name::new(&usage.customer), Usage::from_wire(usage));
        }
        self.update_total();
    }

    /// Removes the usage of a peer that is no longer a member.
    pub fn remove_peer(&mut self, peer: &Name) {
        self.peers.remove(peer);
        self.update_total();
    }

    fn update_total(&mut self) {
        let mut total: HashMap<Name, Usage> = HashMap::new();
        let others = self.peers.values().flatten();
        for (customer, usage) in others.chain(self.own.iter()) {
            total.entry(customer.clone()).or_default().add(usage);
        }
        self.total = total;
    }
}
