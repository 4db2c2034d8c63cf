//! Time that a simulated node spends on its inputs, and bandwidth of its link.

use std::collections::HashMap;
use std::time::Duration;

use control::{Body, Input, Page, PeerEvent, RenewReply, Transaction};

/// Time that a node of speed 1 needs to handle an input, by kind; zero by default.
///
/// A node handles its inputs in batches, as the host passes them. The actions that result from
/// a batch are performed at the end of its handling.
#[derive(Debug, Clone, Copy, Default)]
pub struct CostModel {
    /// Timer tick.
    pub tick: Duration,
    /// Request of a local caller.
    pub call: Duration,
    /// Request forwarded by a follower.
    pub request: Duration,
    /// Any other event on a link.
    pub peer_event: Duration,
    /// Reply to a commit.
    pub commit: Duration,
    /// Reply to a start or stop.
    pub order: Duration,
    /// Reply to a renewal, without the runs it lists.
    pub renewal: Duration,
    /// Run listed in a reply to a renewal.
    pub listed_run: Duration,
    /// Row in the reply to a read.
    pub row: Duration,
    /// Result of a watch or of an advice call.
    pub result: Duration,
    /// Action that results from an input.
    pub action: Duration,
}

impl CostModel {
    /// Time to handle an input, without its actions.
    pub fn input_cost(&self, input: &Input) -> Duration {
        match input {
            Input::Tick => self.tick,
            Input::Call { .. } => self.call,
            Input::Peer { event: PeerEvent::Frame(frame), .. }
                if matches!(frame.body, Some(Body::Request(_))) =>
            {
                self.request
            }
            Input::Peer { .. } => self.peer_event,
            Input::Commit { .. } => self.commit,
            Input::Order { .. } => self.order,
            Input::Renew { reply: RenewReply::Renewed { listing, .. }, .. } => {
                let runs = listing.running.len() + listing.finished.len();
                self.renewal + self.listed_run * runs as u32
            }
            Input::Renew { .. } => self.renewal,
            Input::Read { page, .. } => {
                self.row * page.as_ref().map_or(0, |page| page.rows.len()) as u32
            }
            Input::Watch { .. } | Input::Advice { .. } => self.result,
            _ => Duration::ZERO,
        }
    }
}

/// Direction of a transfer, as seen from a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Direction {
    In,
    Out,
}

/// Bandwidth of the nodes' links, for frames between nodes, reads and commits.
#[derive(Debug, Default)]
pub struct Network {
    /// Bytes per second in each direction, by node; unlimited for others.
    pub bandwidths: HashMap<usize, u64>,
    /// End of the latest transfer over each link.
    free_at: HashMap<(usize, Direction), Duration>,
}

impl Network {
    /// Queues a transfer behind earlier ones over a node's link; returns its end.
    pub fn transfer(
        &mut self,
        node: usize,
        direction: Direction,
        bytes: usize,
        now: Duration,
    ) -> Duration {
        let Some(bandwidth) = self.bandwidths.get(&node) else { return now };
        let free_at = self.free_at.entry((node, direction)).or_default();
        let span = Duration::from_secs_f64(bytes as f64 / *bandwidth as f64);
        *free_at = now.max(*free_at) + span;
        *free_at
    }
}

/// Size of a page's rows, in bytes.
pub fn page_bytes(page: &Page) -> usize {
    page.rows.iter().map(|row| row.key.len() + row.value.len()).sum()
}

/// Size of a transaction's writes, in bytes.
pub fn transaction_bytes(transaction: &Transaction) -> usize {
    transaction.writes.iter().map(|write| write.key.key.len() + write.value.len()).sum()
}
