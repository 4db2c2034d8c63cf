//! One TCP connection to a peer: buffers, framing, greeting, silence.

use std::time::{Duration, Instant};

use bytes::BytesMut;
use common::Name;
use stakker::Fwd;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, MioSource, ReadStatus, Ready, TcpStreamBuf};
use wire::{Body, Codec, Frame};

/// Most bytes waiting to be sent; a slower peer is dropped.
const OUT_LIMIT: usize = 16 * 1024 * 1024;

/// Bytes read at a time.
const READ_CHUNK: usize = 64 * 1024;

/// Longest silence on a connection that is in use.
pub(super) const SILENCE: Duration = Duration::from_secs(2);

/// What a link found when it was read.
#[derive(Debug, Default)]
pub(super) struct Found {
    pub frames: Vec<Frame>,
    pub is_over: bool,
}

/// One connection.
pub(super) struct Link {
    buffer: TcpStreamBuf,
    codec: Codec,
    inbound: BytesMut,
    outbound: BytesMut,
    /// The peer, once it has greeted.
    pub peer: Option<Name>,
    /// Whom we dialled, where we did.
    pub dialled: Option<Name>,
    last_heard: Instant,
    pub received: u64,
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
            codec: Codec::default(),
            inbound: BytesMut::new(),
            outbound: BytesMut::new(),
            peer: None,
            dialled,
            last_heard: now,
            received: 0,
            sent: 0,
        })
    }

    /// Queues a frame; false where the link is of no more use.
    pub fn send(&mut self, frame: &Frame) -> bool {
        if self.codec.encode(frame, &mut self.outbound).is_err() {
            self.outbound.clear();
            return false;
        }
        self.sent += self.outbound.len() as u64;
        self.buffer.out.extend_from_slice(&self.outbound);
        self.outbound.clear();
        self.buffer.out.len() <= OUT_LIMIT
    }

    /// Writes what is queued, as far as the system takes it; false where it fails.
    pub fn flush(&mut self) -> bool {
        self.buffer.flush().is_ok()
    }

    /// Reads what has arrived.
    pub fn read(&mut self, now: Instant) -> Found {
        let mut found = Found::default();
        // Readiness is reported once, so everything there must be read now.
        loop {
            match self.buffer.read(READ_CHUNK) {
                ReadStatus::NewData => self.take_in(now),
                ReadStatus::WouldBlock => break,
                ReadStatus::EndOfStream | ReadStatus::Error(_) => {
                    found.is_over = true;
                    break;
                }
            }
        }
        loop {
            match self.codec.decode(&mut self.inbound) {
                Ok(Some(frame)) => found.frames.push(frame),
                Ok(None) => return found,
                Err(_broken) => {
                    found.is_over = true;
                    return found;
                }
            }
        }
    }

    fn take_in(&mut self, now: Instant) {
        self.last_heard = now;
        let (from, until) = (self.buffer.rd, self.buffer.wr);
        self.received += (until - from) as u64;
        self.inbound.extend_from_slice(&self.buffer.inp[from..until]);
        self.buffer.rd = until;
    }

    /// Whether nothing was heard for too long.
    pub fn is_silent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_heard) > SILENCE
    }
}

/// The peer that a greeting names.
///
/// # Errors
///
/// Why the peer is turned away.
pub(super) fn check_greeting(frame: &Frame, cell: &str) -> Result<Name, String> {
    let Some(Body::Greeting(greeting)) = &frame.body else {
        return Err("the first frame is no greeting".to_owned());
    };
    if greeting.cell != cell {
        return Err(format!("{} is of cell {}", greeting.member, greeting.cell));
    }
    if greeting.version != wire::VERSION {
        return Err(format!("{} speaks version {}", greeting.member, greeting.version));
    }
    Ok(Name::new(&greeting.member))
}
