//! Encoding and decoding of length-prefixed frames of bounded size.

use std::marker::PhantomData;

use bytes::{Bytes, BytesMut};
use prost::Message;
use snafu::{ResultExt, Snafu};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::Frame;

/// Version of the protocol, sent in the greeting.
pub const PROTOCOL_VERSION: u32 = 1;

/// Maximum payload of a frame, in bytes, without the length prefix.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Why a frame cannot be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The frame is larger than [`MAX_FRAME_BYTES`], or its length prefix is invalid.
    #[snafu(display("invalid frame length: {source}"))]
    InvalidLength {
        /// Error of the length-prefix codec.
        source: std::io::Error,
    },
    /// The payload is not a message of the protocol.
    #[snafu(display("invalid frame payload: {source}"))]
    InvalidPayload {
        /// Error of the message decoder.
        source: prost::DecodeError,
    },
}

/// Encodes and decodes length-prefixed messages of one type.
#[derive(Debug)]
pub struct MessageCodec<M> {
    inner: LengthDelimitedCodec,
    message: PhantomData<M>,
}

/// Codec for [`Frame`]s between daemons.
pub type FrameCodec = MessageCodec<Frame>;

impl<M> Default for MessageCodec<M> {
    fn default() -> Self {
        let inner = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        Self { inner, message: PhantomData }
    }
}

impl<M: Message + Default> MessageCodec<M> {
    /// Encodes a frame and appends it to a buffer.
    ///
    /// # Errors
    ///
    /// [`Error::InvalidLength`] if the frame is larger than [`MAX_FRAME_BYTES`].
    pub fn encode(&mut self, frame: &M, output: &mut BytesMut) -> Result<(), Error> {
        let payload = Bytes::from(frame.encode_to_vec());
        self.inner.encode(payload, output).context(InvalidLengthSnafu)
    }

    /// Removes and decodes the next frame; `None` while the frame is incomplete.
    ///
    /// # Errors
    ///
    /// [`Error`] if the bytes are not a frame; the connection cannot be used any further.
    pub fn decode(&mut self, input: &mut BytesMut) -> Result<Option<M>, Error> {
        let Some(payload) = self.inner.decode(input).context(InvalidLengthSnafu)? else {
            return Ok(None);
        };
        M::decode(payload.freeze()).map(Some).context(InvalidPayloadSnafu)
    }
}
