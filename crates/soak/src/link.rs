//! Proxy for one ordered pair of processes, whose faults can be changed at any time.
//!
//! A silent link keeps the bytes that it accepts and delivers them once it is open again, even if
//! the sender has closed the connection meanwhile, as a kernel's retransmissions would.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use control::Frame;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use wire::MessageCodec;

use crate::address::Directory;

/// Most pieces that a link keeps in one direction of a connection; then it reads no further.
const MAX_HELD_PIECES: usize = 1024;

/// Free buffer space reserved before each read, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

common::key! {
    /// State of a link; later variants are worse.
    pub enum Mode {
        /// Bytes pass at once.
        Open,
        /// Bytes pass after a delay.
        Delayed(Duration),
        /// Bytes are kept in one direction or both.
        Silent {
            /// Whether bytes towards the target are kept.
            forward: bool,
            /// Whether bytes from the target are kept.
            backward: bool,
        },
        /// Open connections are reset, and so are new ones.
        Reset,
    }
}

impl Mode {
    /// No byte passes.
    pub const CUT: Self = Self::Silent { forward: true, backward: true };

    /// State of a link with two faults at a time.
    #[must_use]
    pub fn with(self, other: Self) -> Self {
        match (self, other) {
            (
                Self::Silent { forward, backward },
                Self::Silent { forward: other_forward, backward: other_backward },
            ) => Self::Silent {
                forward: forward || other_forward,
                backward: backward || other_backward,
            },
            _ => self.max(other),
        }
    }

    /// Whether bytes are kept in a direction.
    fn keeps(self, direction: Direction) -> bool {
        match (self, direction) {
            (Self::Silent { forward, .. }, Direction::Forward) => forward,
            (Self::Silent { backward, .. }, Direction::Backward) => backward,
            _ => false,
        }
    }
}

common::key! {
    /// Direction of bytes on a link.
    pub enum Direction {
        /// From the process that connects.
        Forward,
        /// From the target.
        Backward,
    }
}

/// Changes the bytes of one direction of a connection.
pub trait Filter: Send {
    /// Takes what can be passed on from `input`; the rest stays there.
    ///
    /// # Errors
    ///
    /// A description, if the bytes are invalid; the connection then ends.
    fn pass(&mut self, input: &mut BytesMut) -> Result<Bytes, String>;
}

/// Makes the filters of a link's connections.
pub trait Traffic: Send + Sync {
    /// Filter for one direction of a new connection.
    fn filter(&self, direction: Direction) -> Box<dyn Filter>;
}

/// Traffic that passes unchanged.
#[derive(Debug)]
pub struct Plain;

impl Traffic for Plain {
    fn filter(&self, _direction: Direction) -> Box<dyn Filter> {
        Box::new(Self)
    }
}

impl Filter for Plain {
    fn pass(&mut self, input: &mut BytesMut) -> Result<Bytes, String> {
        Ok(input.split().freeze())
    }
}

/// Frames between two daemons, whose addresses are translated for the receiver.
#[derive(Debug)]
pub struct Frames {
    /// Addresses of all daemons and proxies; filled before the daemons start.
    pub directory: Arc<Mutex<Directory>>,
    /// Daemon that connects.
    pub from: usize,
    /// Daemon that accepts.
    pub to: usize,
}

impl Traffic for Frames {
    fn filter(&self, direction: Direction) -> Box<dyn Filter> {
        let receiver = if direction == Direction::Forward { self.to } else { self.from };
        let directory = Arc::clone(&self.directory);
        Box::new(FrameFilter { directory, receiver, codec: MessageCodec::default() })
    }
}

struct FrameFilter {
    directory: Arc<Mutex<Directory>>,
    receiver: usize,
    codec: MessageCodec<Frame>,
}

impl Filter for FrameFilter {
    fn pass(&mut self, input: &mut BytesMut) -> Result<Bytes, String> {
        let mut output = BytesMut::new();
        while let Some(mut frame) = self.codec.decode(input).map_err(|error| error.to_string())? {
            let directory = self.directory.lock().unwrap_or_else(PoisonError::into_inner);
            directory.rewrite_frame(self.receiver, &mut frame);
            drop(directory);
            self.codec.encode(&frame, &mut output).map_err(|error| error.to_string())?;
        }
        Ok(output.freeze())
    }
}

/// A proxy on a loopback port of its own; it ends with the runtime.
#[derive(Debug)]
pub struct Link {
    /// Address that the connecting process uses.
    pub address: SocketAddr,
    mode: watch::Sender<Mode>,
    target: Arc<Mutex<SocketAddr>>,
}

impl Link {
    /// Opens a proxy to a target.
    ///
    /// # Errors
    ///
    /// The I/O error if no port can be bound.
    pub async fn open(target: SocketAddr, traffic: Arc<dyn Traffic>) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let (mode, state) = watch::channel(Mode::Open);
        let target = Arc::new(Mutex::new(target));
        tokio::spawn(accept(listener, state, Arc::clone(&target), traffic));
        Ok(Self { address, mode, target })
    }

    /// Sets the state of all connections, open and new.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_if_modified(|old| std::mem::replace(old, mode) != mode);
    }

    /// Sets the target of connections that are made from now on.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
    }
}

async fn accept(
    listener: TcpListener,
    state: watch::Receiver<Mode>,
    target: Arc<Mutex<SocketAddr>>,
    traffic: Arc<dyn Traffic>,
) {
    loop {
        let Ok((source, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (state, traffic, target) = (state.clone(), Arc::clone(&traffic), Arc::clone(&target));
        tokio::spawn(async move { serve(source, state, &target, &*traffic).await });
    }
}

/// Connects to the target once the link lets anything pass, and passes both directions.
async fn serve(
    mut source: TcpStream,
    mut state: watch::Receiver<Mode>,
    target: &Mutex<SocketAddr>,
    traffic: &dyn Traffic,
) {
    // A connection cannot be made while one direction is silent.
    let waited = state.wait_for(|mode| !matches!(mode, Mode::Silent { .. })).await;
    if waited.is_ok_and(|mode| *mode != Mode::Reset) {
        let address = *target.lock().unwrap_or_else(PoisonError::into_inner);
        if let Ok(mut sink) = TcpStream::connect(address).await {
            if join(&mut source, &mut sink, &mut state, traffic).await {
                return;
            }
            reset(&sink);
        }
    }
    reset(&source);
}

/// Passes both directions; true if they ended by themselves, false if the link is to be reset.
async fn join(
    source: &mut TcpStream,
    sink: &mut TcpStream,
    state: &mut watch::Receiver<Mode>,
    traffic: &dyn Traffic,
) -> bool {
    // Without the option, the link only adds some delay.
    drop((source.set_nodelay(true), sink.set_nodelay(true)));
    let (source_reader, source_writer) = source.split();
    let (sink_reader, sink_writer) = sink.split();
    let (forward, backward) = (Direction::Forward, Direction::Backward);
    let there = pass(source_reader, sink_writer, state.clone(), forward, traffic.filter(forward));
    let back = pass(sink_reader, source_writer, state.clone(), backward, traffic.filter(backward));
    tokio::select! {
        ((), ()) = async { tokio::join!(there, back) } => true,
        _ = state.wait_for(|mode| *mode == Mode::Reset) => false,
    }
}

/// Marks a connection to be reset when it is dropped.
fn reset(stream: &TcpStream) {
    // The connection is closed in any case.
    drop(SockRef::from(stream).set_linger(Some(Duration::ZERO)));
}

/// Passes one direction of a connection until its sender has closed or its receiver has failed.
async fn pass(
    mut reader: ReadHalf<'_>,
    writer: WriteHalf<'_>,
    state: watch::Receiver<Mode>,
    direction: Direction,
    mut filter: Box<dyn Filter>,
) {
    let (sender, receiver) = mpsc::channel(MAX_HELD_PIECES);
    let read = async move {
        let mut buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
        loop {
            buffer.reserve(READ_BUFFER_BYTES);
            match reader.read_buf(&mut buffer).await {
                Ok(read) if read > 0 => {}
                _ => return,
            }
            match filter.pass(&mut buffer) {
                Ok(piece) if piece.is_empty() => {}
                Ok(piece) => {
                    if sender.send((Instant::now(), piece)).await.is_err() {
                        return;
                    }
                }
                Err(error) => return eprintln!("soak: a link carries no frames: {error}"),
            }
        }
    };
    let write = deliver(writer, receiver, state, direction);
    tokio::pin!(write);
    tokio::select! {
        () = &mut write => return,
        () = read => {}
    }
    write.await;
}

/// Writes pieces as the link's state allows, then closes the direction.
async fn deliver(
    mut writer: WriteHalf<'_>,
    mut pieces: mpsc::Receiver<(Instant, Bytes)>,
    mut state: watch::Receiver<Mode>,
    direction: Direction,
) {
    while let Some((arrived, piece)) = pieces.recv().await {
        if !wait_until_passable(&mut state, direction, arrived).await
            || writer.write_all(&piece).await.is_err()
        {
            return;
        }
    }
    if wait_until_passable(&mut state, direction, Instant::now()).await {
        // The receiver may have closed already.
        drop(writer.shutdown().await);
    }
}

/// Waits until bytes that arrived at a time may pass; false if the link is gone.
async fn wait_until_passable(
    state: &mut watch::Receiver<Mode>,
    direction: Direction,
    arrived: Instant,
) -> bool {
    loop {
        let mode = *state.borrow_and_update();
        let until = match mode {
            Mode::Delayed(delay) => arrived + delay,
            _ if mode.keeps(direction) => {
                if state.changed().await.is_err() {
                    return false;
                }
                continue;
            }
            _ => return true,
        };
        tokio::select! {
            () = tokio::time::sleep_until(until) => return true,
            changed = state.changed() => {
                if changed.is_err() {
                    return false;
                }
            }
        }
    }
}
