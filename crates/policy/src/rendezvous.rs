//! Rendezvous hashing: each scope is assigned to the member with the highest score for it.

use common::{Name, stable_hash};

/// Picks the member for a scope; `None` if `members` is empty.
///
/// # Examples
///
/// ```
/// let members = ["a".into(), "b".into(), "c".into()];
/// let owner = policy::rendezvous::pick_member("rack-1", &members).unwrap().clone();
/// let others: Vec<_> = members.iter().filter(|member| **member != owner).cloned().collect();
/// assert_ne!(policy::rendezvous::pick_member("rack-1", &others), Some(&owner));
/// ```
pub fn pick_member<'m>(scope: &str, members: &'m [Name]) -> Option<&'m Name> {
    members.iter().max_by_key(|member| score(scope, member))
}

/// Sorts members by decreasing score; each one is the fallback of those before it.
pub fn rank_members<'m>(scope: &str, members: &'m [Name]) -> Vec<&'m Name> {
    let mut ranked: Vec<_> = members.iter().collect();
    ranked.sort_by_key(|member| std::cmp::Reverse(score(scope, member)));
    ranked
}

/// Score of a member for a scope, the same on every daemon.
fn score(scope: &str, member: &str) -> u64 {
    stable_hash(format!("{scope}\n{member}").as_bytes())
}
