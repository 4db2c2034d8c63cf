//! Workspaces: customers with keys, a weight and a limit on what they have running.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use common::Name;
use sha2::{Digest, Sha256};

use crate::record::Resources;
use crate::scheduler::Scheduler;

/// SHA-256 of a caller's key. Keys themselves are neither kept nor passed on.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyDigest([u8; 32]);

common::data! {
    /// A customer whose jobs share keys, a weight and a limit.
    pub struct Workspace {
        /// Name of the workspace.
        pub name: Name,
        /// Its share of the pool, relative to the others, when all room is taken.
        pub weight: u32,
        /// What it may have running on all workers together; 0 for no limit on a resource.
        pub limit: Resources,
        /// Digests of its keys.
        pub keys: Vec<KeyDigest>,
    }

    /// The workspaces of one version of the rules, by name and by key.
    #[derive(Default)]
    pub struct Workspaces {
        by_name: BTreeMap<Name, Workspace>,
        /// Name of the workspace that each key opens.
        by_key: HashMap<KeyDigest, Name>,
    }
}

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Decodes a digest sent by another daemon; `None` if its length is wrong.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// The bytes of the digest.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for KeyDigest {
    /// Shows the first four bytes, which identify a key to an operator and reveal nothing of it.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..4].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl Workspaces {
    /// Collects workspaces; of several with one name, or one key, the first counts.
    pub fn new(workspaces: impl IntoIterator<Item = Workspace>) -> Self {
        let mut all = Self::default();
        for workspace in workspaces {
            if all.by_name.contains_key(&workspace.name) {
                continue;
            }
            for key in &workspace.keys {
                all.by_key.entry(*key).or_insert_with(|| workspace.name.clone());
            }
            all.by_name.insert(workspace.name.clone(), workspace);
        }
        all
    }

    /// Whether there are none, so that calls need no key.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// The workspace with a name.
    pub fn get(&self, name: &str) -> Option<&Workspace> {
        self.by_name.get(name)
    }

    /// The workspace that a key opens.
    pub fn find_by_key(&self, key: &KeyDigest) -> Option<&Workspace> {
        self.by_name.get(self.by_key.get(key)?)
    }

    /// All workspaces, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &Workspace> {
        self.by_name.values()
    }
}

impl Scheduler {
    /// Resources of all assigned runs of each workspace, on all workers; jobs without a workspace are
    /// not counted.
    ///
    /// A run counts from its placement until it is proven to have ended, so also while it is
    /// committed, unanswered, being stopped, or on a silent worker.
    pub fn workspace_usage(&self) -> HashMap<Name, Resources> {
        let mut usage: HashMap<Name, Resources> = HashMap::new();
        for (workspace, used) in self.pool.iter().flat_map(|worker| &worker.used_by) {
            match usage.get_mut(workspace) {
                Some(sum) => *sum = sum.plus(used),
                None => {
                    usage.insert(workspace.clone(), *used);
                }
            }
        }
        usage
    }
}
