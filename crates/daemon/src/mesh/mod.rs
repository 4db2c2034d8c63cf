//! The border to the other daemons.

mod link;
mod tcp;

pub use tcp::Tcp;

use std::net::SocketAddr;

use common::Name;
use wire::Frame;

common::data! {
    /// What comes from the other daemons.
    pub enum Input {
        /// A peer is connected.
        Up(Name),
        /// A peer's connection is gone; what was on its way may be lost.
        Down(Name),
        /// A frame from a peer.
        Frame(Name, Frame),
        /// A peer was turned away.
        Refused(String),
        /// A connection was dropped for its silence.
        Silent(Name),
    }

    /// Another daemon to keep a connection with.
    pub struct Peer {
        /// Its member name.
        pub name: Name,
        /// Where it listens.
        pub address: SocketAddr,
    }
}

/// Connections with every other daemon of the cell.
pub trait Mesh {
    /// Sends a frame; false where the peer is not connected, and nothing was sent.
    fn send(&mut self, to: &Name, frame: &Frame) -> bool;

    /// Sets whom to keep connections with.
    fn set_peers(&mut self, peers: Vec<Peer>);

    /// Whether a peer is connected.
    fn is_up(&self, peer: &str) -> bool;

    /// Bytes sent and received so far.
    fn bytes(&self) -> (u64, u64);
}
