//! TCP links to other daemons that carry length-prefixed protobuf frames.

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
use wire::MessageCodec;

use crate::run::InputQueue;

/// Most frames queued for a slow peer; one more closes the link.
const MAX_QUEUED_FRAMES: usize = 4096;

/// Longest time that connecting to a peer may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time that a write to a peer may take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time without data before a link is closed; heartbeats come more often.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Free buffer space reserved before each read, in bytes.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Most frames combined into one write.
const MAX_FRAMES_PER_WRITE: usize = 64;

/// Delay after a failed accept, for example when no file descriptor is left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Open links to peers by link number; clones share them.
#[derive(Debug, Clone)]
pub struct Mesh {
    links: Rc<RefCell<HashMap<u64, Sender<Frame>>>>,
    inputs: InputQueue,
}

impl Mesh {
    /// Creates a mesh without links that reports events to an input queue.
    pub fn new(inputs: InputQueue) -> Self {
        Self { links: Rc::default(), inputs }
    }

    /// Accepts connections from peers until the task is dropped.
    ///
    /// Accepted links get odd numbers; the node numbers the links that it opens even.
    pub async fn accept(self, listener: TcpListener) {
        let mut link_number = 1;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    link_number += 2;
                    self.start_link(link_number, stream, PeerEvent::Accepted);
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    /// Connects to a peer in a task of its own and reports the outcome.
    ///
    /// A connect timeout is not reported.
    pub fn connect(&self, link: u64, address: Name) {
        let mesh = self.clone();
        tokio::task::spawn_local(async move {
            match timeout(CONNECT_TIMEOUT, TcpStream::connect(&*address)).await {
                Ok(Ok(stream)) => mesh.start_link(link, stream, PeerEvent::Connected),
                Ok(Err(_)) => mesh.report(link, PeerEvent::Refused),
                // The node detects a silent peer by its own timeout, as on an open link.
                Err(_) => {}
            }
        });
    }

    /// Queues a frame for a link; closes the link if the queue is full.
    ///
    /// A frame for a link that is not open is dropped.
    pub fn send(&self, link: u64, frame: Frame) {
        let has_failed = self.links.borrow().get(&link).is_some_and(|sender| {
            let sent = sender.try_send(frame);
            sent.is_err()
        });
        if has_failed {
            self.close(link);
            self.report(link, PeerEvent::Closed);
        }
    }

    /// Closes a link without reporting it to the node.
    pub fn close(&self, link: u64) {
        self.links.borrow_mut().remove(&link);
    }

    /// Passes an event on a link to the node.
    fn report(&self, link: u64, event: PeerEvent) {
        self.inputs.push(Input::Peer { link, event });
    }

    /// Registers a link and starts its reader and writer.
    fn start_link(&self, link: u64, stream: TcpStream, event: PeerEvent) {
        if stream.set_nodelay(true).is_err() {
            self.report(link, PeerEvent::Closed);
            return;
        }
        let (reader, writer) = stream.into_split();
        let (sender, receiver) = channel(MAX_QUEUED_FRAMES);
        self.links.borrow_mut().insert(link, sender);
        self.report(link, event);
        let mesh = self.clone();
        tokio::task::spawn_local(async move {
            tokio::select! {
                () = write_frames(writer, receiver) => {}
                () = mesh.read_frames(link, reader) => {}
            }
            if mesh.links.borrow_mut().remove(&link).is_some() {
                mesh.report(link, PeerEvent::Closed);
            }
        });
    }

    async fn read_frames(&self, link: u64, mut reader: OwnedReadHalf) {
        let mut codec = MessageCodec::<Frame>::default();
        let mut buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
        loop {
            buffer.reserve(READ_BUFFER_BYTES);
            match timeout(READ_TIMEOUT, reader.read_buf(&mut buffer)).await {
                Ok(Ok(read)) if read > 0 => {}
                _ => return,
            }
            loop {
                match codec.decode(&mut buffer) {
                    Ok(Some(frame)) => self.report(link, PeerEvent::Frame(frame)),
                    Ok(None) => break,
                    Err(_) => return,
                }
            }
        }
    }
}

async fn write_frames(mut writer: OwnedWriteHalf, mut receiver: Receiver<Frame>) {
    let mut codec = MessageCodec::<Frame>::default();
    let mut buffer = BytesMut::new();
    let mut frames = Vec::with_capacity(MAX_FRAMES_PER_WRITE);
    while receiver.recv_many(&mut frames, MAX_FRAMES_PER_WRITE).await > 0 {
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
