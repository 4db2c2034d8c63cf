//! Interface to the other daemons of the cell: connections, and the frames sent over them.

mod link;
mod tcp;

pub use tcp::Tcp;

use std::net::SocketAddr;

use common::Name;
use wire::Frame;

common::data! {
    /// Frames from peers, and changes of their connections.
    pub enum Input {
        /// A peer connected and sent a valid greeting.
        Connected(Name),
        /// A peer's connection closed; frames in transit may be lost.
        Disconnected(Name),
        /// A peer sent a frame.
        Frame(Name, Frame),
        /// A connection was rejected for its greeting; holds the reason.
        Rejected(String),
        /// A peer's connection timed out and is being closed.
        TimedOut(Name),
    }

    /// Daemon to keep a connection with.
    pub struct Peer {
        /// Member name.
        pub name: Name,
        /// Address that it listens on for peers.
        pub address: SocketAddr,
    }
}

/// Connections with the other daemons of the cell.
pub trait Mesh {
    /// Queues a frame for a peer; false if it is not connected or its queue is over the limit.
    fn send(&mut self, to: &Name, frame: &Frame) -> bool;

    /// Replaces the set of daemons to keep connections with.
    fn set_peers(&mut self, peers: Vec<Peer>);

    /// Whether a peer is connected.
    fn is_connected(&self, peer: &str) -> bool;

    /// Total bytes sent and received, in this order.
    fn byte_counts(&self) -> (u64, u64);
}
