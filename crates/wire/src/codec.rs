//! Frames to bytes and back, with a bound on their size.

use std::marker::PhantomData;

use bytes::{Bytes, BytesMut};
use prost::Message;
use snafu::{ResultExt, Snafu};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::Frame;

/// Version of the protocol, sent in the greeting.
pub const VERSION: u32 = 1;

/// Largest frame, in bytes.
pub const FRAME_LIMIT: usize = 4 * 1024 * 1024;

/// Why bytes are no frame.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The frame is larger than [`FRAME_LIMIT`], or its length makes no sense.
    #[snafu(display("frame length: {source}"))]
    Length {
        /// The codec's error.
        source: std::io::Error,
    },
    /// The payload is not a message of the protocol.
    #[snafu(display("frame payload: {source}"))]
    Payload {
        /// The decoder's error.
        source: prost::DecodeError,
    },
}

/// Turns messages of one type into bytes and bytes into messages.
#[derive(Debug)]
pub struct Coder<M> {
    inner: LengthDelimitedCodec,
    message: PhantomData<M>,
}

/// Turns frames into bytes and bytes into frames.
pub type Codec = Coder<Frame>;

impl<M> Default for Coder<M> {
    fn default() -> Self {
        let inner = LengthDelimitedCodec::builder().max_frame_length(FRAME_LIMIT).new_codec();
        Self { inner, message: PhantomData }
    }
}

impl<M: Message + Default> Coder<M> {
    /// Appends a frame to a buffer.
    ///
    /// # Errors
    ///
    /// [`Error::Length`] where the frame is over [`FRAME_LIMIT`].
    pub fn encode(&mut self, frame: &M, into: &mut BytesMut) -> Result<(), Error> {
        let payload = Bytes::from(frame.encode_to_vec());
        self.inner.encode(payload, into).context(LengthSnafu)
    }

    /// Takes the next whole frame from a buffer, or nothing while it is incomplete.
    ///
    /// # Errors
    ///
    /// [`Error`] where the bytes are no frame; the connection is then of no more use.
    pub fn decode(&mut self, from: &mut BytesMut) -> Result<Option<M>, Error> {
        let Some(payload) = self.inner.decode(from).context(LengthSnafu)? else {
            return Ok(None);
        };
        M::decode(payload.freeze()).map(Some).context(PayloadSnafu)
    }
}
