//! Protocol between daemons.
//!
//! Every connection carries length-prefixed [`Frame`]s. `peer.proto` is the source of
//! the messages; `peer.rs` is generated from it and committed, and a test compares the
//! two. Unknown fields are ignored, so that daemons of different versions can communicate
//! during an upgrade.

mod attempt_status;
mod codec;
#[rustfmt::skip]
#[allow(missing_docs, clippy::allow_attributes, clippy::pedantic, clippy::empty_structs_with_brackets, reason = "generated from peer.proto")]
mod peer;

pub use attempt_status::AttemptStatus;
pub use codec::{Error, FrameCodec, MAX_FRAME_BYTES, MessageCodec, PROTOCOL_VERSION};
pub use peer::frame::Body;
pub use peer::{
    Ack, Answer, Cancel, Changed, Digest, Frame, Grant, Greeting, Heartbeat, Key, Place, Probe,
    Query, Quick, Release, Report, Reserve, Slots, Span, Start, Stop, Submit, Survey, Usage, View,
};
pub use prost::Message;

impl Frame {
    /// Creates a call; its reply carries the same number.
    pub fn new_call(call: u64, body: Body) -> Self {
        Self { call, is_reply: false, body: Some(body) }
    }

    /// Creates the reply to the call with this number.
    pub fn new_reply(call: u64, body: Body) -> Self {
        Self { call, is_reply: true, body: Some(body) }
    }

    /// Creates a frame that expects no reply.
    pub fn new_notice(body: Body) -> Self {
        Self { call: 0, is_reply: false, body: Some(body) }
    }
}
