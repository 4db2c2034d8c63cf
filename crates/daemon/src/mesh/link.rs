//! One TCP connection to a peer: buffers, framing, greeting and timeout.

use std::time::{Duration, Instant};

use bytes::BytesMut;
use common::Name;
use stakker::Fwd;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, MioSource, ReadStatus, Ready, TcpStreamBuf};
use wire::{Body, Frame, FrameCodec};

/// Maximum number of bytes queued for sending; above it, [`Link::send`] reports a failure.
const MAX_QUEUED_BYTES: usize = 16 * 1024 * 1024;

/// Maximum number of bytes read by one call.
const READ_CHUNK_BYTES: usize = 64 * 1024;

/// Longest time without input before a connection is closed.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Result of reading a link.
#[derive(Debug, Default)]
pub(super) struct ReadOutcome {
    /// Complete frames, in the order of arrival.
    pub frames: Vec<Frame>,
    /// Whether the link is closed or its input is invalid.
    pub is_closed: bool,
}

/// Buffered connection, which either side may have opened.
pub(super) struct Link {
    buffer: TcpStreamBuf,
    codec: FrameCodec,
    /// Bytes received and not decoded yet.
    inbound: BytesMut,
    /// Scratch space for one encoded frame.
    outbound: BytesMut,
    /// Name of the peer; `None` until its greeting was accepted.
    pub peer: Option<Name>,
    /// Name of the peer that this daemon dialled; `None` on accepted connections.
    pub dialled: Option<Name>,
    last_input: Instant,
    /// Total bytes received.
    pub received: u64,
    /// Total bytes queued for sending.
    pub sent: u64,
}

impl Link {
    pub fn new(
        poll: &MioPoll,
        stream: TcpStream,
        dialled: Option<Name>,
        now: Instant,
        fwd: Fwd<Ready>,
    ) -> std::io::Result<Self> {
        let interest = Interest::READABLE | Interest::WRITABLE;
        let source: MioSource<TcpStream> = poll.add(stream, interest, 5, fwd)?;
        let mut buffer = TcpStreamBuf::new();
        buffer.init(source);
        buffer.set_nodelay(true);
        Ok(Self {
            buffer,
            codec: FrameCodec::default(),
            inbound: BytesMut::new(),
            outbound: BytesMut::new(),
            peer: None,
            dialled,
            last_input: now,
            received: 0,
            sent: 0,
        })
    }

    /// Queues a frame; false if it cannot be encoded or the queue is over its limit.
    pub fn send(&mut self, frame: &Frame) -> bool {
        if self.codec.encode(frame, &mut self.outbound).is_err() {
            self.outbound.clear();
            return false;
        }
        self.sent += self.outbound.len() as u64;
        self.buffer.out.extend_from_slice(&self.outbound);
        self.outbound.clear();
        self.buffer.out.len() <= MAX_QUEUED_BYTES
    }

    /// Writes queued bytes until the socket would block; false if that fails.
    pub fn flush(&mut self) -> bool {
        self.buffer.flush().is_ok()
    }

    /// Reads and decodes all input that is available.
    pub fn read(&mut self, now: Instant) -> ReadOutcome {
        let mut outcome = ReadOutcome::default();
        // Readiness is reported only once (edge-triggered), so all input must be read now.
        loop {
            match self.buffer.read(READ_CHUNK_BYTES) {
                ReadStatus::NewData => self.append_input(now),
                ReadStatus::WouldBlock => break,
                ReadStatus::EndOfStream | ReadStatus::Error(_) => {
                    outcome.is_closed = true;
                    break;
                }
            }
        }
        loop {
            match self.codec.decode(&mut self.inbound) {
                Ok(Some(frame)) => outcome.frames.push(frame),
                Ok(None) => return outcome,
                Err(_error) => {
                    outcome.is_closed = true;
                    return outcome;
                }
            }
        }
    }

    /// Moves the bytes just read to the input buffer and counts them.
    fn append_input(&mut self, now: Instant) {
        self.last_input = now;
        let (start, end) = (self.buffer.rd, self.buffer.wr);
        self.received += (end - start) as u64;
        self.inbound.extend_from_slice(&self.buffer.inp[start..end]);
        self.buffer.rd = end;
    }

    /// Whether no input arrived for longer than [`SILENCE_TIMEOUT`].
    pub fn is_silent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_input) > SILENCE_TIMEOUT
    }
}

/// Validates a peer's first frame and returns the peer's name.
///
/// # Errors
///
/// Reason to reject the peer: no greeting, another cell or another protocol version.
pub(super) fn check_greeting(frame: &Frame, cell: &str) -> Result<Name, String> {
    let Some(Body::Greeting(greeting)) = &frame.body else {
        return Err("the first frame is not a greeting".to_owned());
    };
    if greeting.cell != cell {
        return Err(format!("{} belongs to cell {}", greeting.member, greeting.cell));
    }
    if greeting.version != wire::PROTOCOL_VERSION {
        return Err(format!("{} uses protocol version {}", greeting.member, greeting.version));
    }
    Ok(Name::new(&greeting.member))
}
