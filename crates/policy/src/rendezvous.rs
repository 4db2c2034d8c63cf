//! Rendezvous hashing: each scope goes to the member with the highest score for it.

use common::{Name, stable_hash};

/// The member that a scope falls to; none where there are no members.
///
/// # Examples
///
/// ```
/// let members = ["a".into(), "b".into(), "c".into()];
/// let with = policy::rendezvous::pick("rack-1", &members).unwrap().clone();
/// let others: Vec<_> = members.iter().filter(|one| **one != with).cloned().collect();
/// assert_ne!(policy::rendezvous::pick("rack-1", &others), Some(&with));
/// ```
pub fn pick<'m>(scope: &str, members: &'m [Name]) -> Option<&'m Name> {
    members.iter().max_by_key(|member| score(scope, member))
}

/// Members in the order in which a scope falls to them.
pub fn ranked<'m>(scope: &str, members: &'m [Name]) -> Vec<&'m Name> {
    let mut ranked: Vec<_> = members.iter().collect();
    ranked.sort_by_key(|member| std::cmp::Reverse(score(scope, member)));
    ranked
}

fn score(scope: &str, member: &str) -> u64 {
    stable_hash(format!("{scope}\n{member}").as_bytes())
}
