//! Links to other daemons: length-prefixed protobuf frames over TCP.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use common::Name;
use control::{Frame, Input, PeerEvent};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::time::timeout;
use wire::Coder;

use crate::run::Inputs;

/// Frames that may wait for a slow peer before its link is closed.
const QUEUE_FRAMES: usize = 4096;

/// Longest time that a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time that a write may take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest silence on a link; heartbeats come more often.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Bytes read at once.
const READ_BYTES: usize = 8 * 1024;

/// Frames written at once.
const WRITE_FRAMES: usize = 64;

/// Pause after an accept that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The links that are open, by number.
#[derive(Debug, Clone)]
pub struct Mesh {
    links: Rc<RefCell<HashMap<u64, Sender<Frame>>>>,
    inputs: Inputs,
}

impl Mesh {
    /// No links yet; events go to a queue of inputs.
    pub fn new(inputs: Inputs) -> Self {
        Self { links: Rc::default(), inputs }
    }

    /// Takes connections of peers, for ever.
    pub async fn accept(self, listener: TcpListener) {
        let mut number = 1;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    number += 2;
                    self.open(number, stream, PeerEvent::Accepted);
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    /// Opens a connection to a peer.
    pub fn connect(&self, link: u64, address: Name) {
        let mesh = self.clone();
        tokio::task::spawn_local(async move {
            match timeout(CONNECT_TIMEOUT, TcpStream::connect(&*address)).await {
                Ok(Ok(stream)) => mesh.open(link, stream, PeerEvent::Connected),
                Ok(Err(_)) => mesh.event(link, PeerEvent::Refused),
                // The silence is noticed by the node, as for an open link.
                Err(_) => {}
            }
        });
    }

    /// Sends a frame; a link whose peer does not read is closed.
    pub fn send(&self, link: u64, frame: Frame) {
        let is_full = self.links.borrow().get(&link).is_some_and(|sender| {
            let sent = sender.try_send(frame);
            sent.is_err()
        });
        if is_full {
            self.close(link);
            self.event(link, PeerEvent::Closed);
        }
    }

    /// Closes a link.
    pub fn close(&self, link: u64) {
        self.links.borrow_mut().remove(&link);
    }

    fn event(&self, link: u64, event: PeerEvent) {
        self.inputs.push(Input::Peer { link, event });
    }

    fn open(&self, link: u64, stream: TcpStream, event: PeerEvent) {
        if stream.set_nodelay(true).is_err() {
            self.event(link, PeerEvent::Closed);
            return;
        }
        let (reader, writer) = stream.into_split();
        let (sender, receiver) = channel(QUEUE_FRAMES);
        self.links.borrow_mut().insert(link, sender);
        self.event(link, event);
        let mesh = self.clone();
        tokio::task::spawn_local(async move {
            tokio::select! {
                () = write(writer, receiver) => {}
                () = mesh.read(link, reader) => {}
            }
            if mesh.links.borrow_mut().remove(&link).is_some() {
                mesh.event(link, PeerEvent::Closed);
            }
        });
    }

    async fn read(&self, link: u64, mut reader: OwnedReadHalf) {
        let mut codec = Coder::<Frame>::default();
        let mut buffer = BytesMut::with_capacity(READ_BYTES);
        loop {
            buffer.reserve(READ_BYTES);
            match timeout(READ_TIMEOUT, reader.read_buf(&mut buffer)).await {
                Ok(Ok(read)) if read > 0 => {}
                _ => return,
            }
            loop {
                match codec.decode(&mut buffer) {
                    Ok(Some(frame)) => self.event(link, PeerEvent::Frame(frame)),
                    Ok(None) => break,
                    Err(_) => return,
                }
            }
        }
    }
}

async fn write(mut writer: OwnedWriteHalf, mut receiver: Receiver<Frame>) {
    let mut codec = Coder::<Frame>::default();
    let mut buffer = BytesMut::new();
    let mut frames = Vec::with_capacity(WRITE_FRAMES);
    while receiver.recv_many(&mut frames, WRITE_FRAMES).await > 0 {
        for frame in frames.drain(..) {
            if codec.encode(&frame, &mut buffer).is_err() {
                return;
            }
        }
        match timeout(WRITE_TIMEOUT, writer.write_all_buf(&mut buffer)).await {
            Ok(Ok(())) => {}
            _ => return,
        }
        buffer.clear();
    }
}
