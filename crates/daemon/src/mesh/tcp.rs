//! The mesh over TCP: of two daemons, the one with the lesser name dials.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use common::Name;
use stakker::{ActorOwn, CX, Fwd, Stakker, actor, after, fwd, fwd_to, ret_nop};
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::{TcpListener, TcpStream};
use stakker_mio::{MioPoll, MioSource, Ready};
use wire::{Body, Frame, Greeting};

use super::link::{Found, Link, check_greeting};
use super::{Input, Mesh, Peer};

/// Between looks at silent links and missing peers.
const CARE_INTERVAL: Duration = Duration::from_millis(200);

type Shared = Rc<RefCell<State>>;

/// The mesh that ships.
pub struct Tcp {
    state: Shared,
    _caretaker: ActorOwn<Caretaker>,
    address: SocketAddr,
}

impl std::fmt::Debug for Tcp {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Tcp").field("address", &self.address).finish_non_exhaustive()
    }
}

/// Who we are, for greetings.
#[derive(Debug, Clone)]
struct Identity {
    cell: Name,
    member: Name,
    incarnation: u64,
}

struct State {
    identity: Identity,
    links: HashMap<u64, Link>,
    by_peer: BTreeMap<Name, u64>,
    peers: Vec<Peer>,
    unflushed: Vec<u64>,
    next: u64,
    sent: u64,
    received: u64,
}

struct Caretaker {
    state: Shared,
    poll: MioPoll,
    listener: MioSource<TcpListener>,
    inputs: Fwd<Input>,
}

impl Tcp {
    /// Listens, and sends what arrives to `inputs`.
    ///
    /// # Errors
    ///
    /// The system's error where the address cannot be bound.
    pub fn start(
        stakker: &mut Stakker,
        poll: &MioPoll,
        settings: &settings::Daemon,
        incarnation: u64,
        inputs: Fwd<Input>,
    ) -> std::io::Result<Self> {
        let identity =
            Identity { cell: settings.cell.clone(), member: settings.member.clone(), incarnation };
        let listener = TcpListener::bind(settings.peer_address)?;
        let address = listener.local_addr()?;
        let state = Rc::new(RefCell::new(State::new(identity)));
        let caretaker = actor!(
            stakker,
            Caretaker::init(Rc::clone(&state), poll.clone(), listener, inputs),
            ret_nop!()
        );
        Ok(Self { state, _caretaker: caretaker, address })
    }

    /// Where the mesh listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// A handle that flushes after each run of the loop.
    pub fn flusher(&self) -> impl Fn() + use<> {
        let state = Rc::clone(&self.state);
        move || state.borrow_mut().flush()
    }
}

impl Mesh for Tcp {
    fn send(&mut self, to: &Name, frame: &Frame) -> bool {
        self.state.borrow_mut().send(to, frame)
    }

    fn set_peers(&mut self, peers: Vec<Peer>) {
        self.state.borrow_mut().peers = peers;
    }

    fn is_up(&self, peer: &str) -> bool {
        self.state.borrow().by_peer.contains_key(peer)
    }

    fn bytes(&self) -> (u64, u64) {
        let state = self.state.borrow();
        (state.sent, state.received)
    }
}

impl State {
    fn new(identity: Identity) -> Self {
        Self {
            identity,
            links: HashMap::new(),
            by_peer: BTreeMap::new(),
            peers: Vec::new(),
            unflushed: Vec::new(),
            next: 0,
            sent: 0,
            received: 0,
        }
    }

    fn send(&mut self, to: &Name, frame: &Frame) -> bool {
        let Some(id) = self.by_peer.get(to).copied() else {
            return false;
        };
        self.send_on(id, frame)
    }

    fn send_on(&mut self, id: u64, frame: &Frame) -> bool {
        let Some(link) = self.links.get_mut(&id) else {
            return false;
        };
        let before = link.sent;
        let is_fine = link.send(frame);
        self.sent += link.sent - before;
        self.unflushed.push(id);
        is_fine
    }

    fn flush(&mut self) {
        let mut unflushed = std::mem::take(&mut self.unflushed);
        unflushed.sort_unstable();
        unflushed.dedup();
        for id in unflushed {
            if let Some(link) = self.links.get_mut(&id) {
                // A failure shows as the end of the stream at the next read.
                let _ = link.flush();
            }
        }
    }

    /// Writes and reads one link.
    fn exchange(&mut self, id: u64, now: Instant) -> Option<Found> {
        let link = self.links.get_mut(&id)?;
        let is_broken = !link.flush();
        let before = link.received;
        let mut found = link.read(now);
        self.received += link.received - before;
        found.is_over |= is_broken;
        Some(found)
    }

    fn greet(&mut self, id: u64) {
        let greeting = Greeting {
            version: wire::VERSION,
            cell: self.identity.cell.to_string(),
            member: self.identity.member.to_string(),
            incarnation: self.identity.incarnation,
        };
        self.send_on(id, &Frame::notice(Body::Greeting(greeting)));
        self.flush();
    }

    /// Removes a link; gives the peer whose connection it was.
    fn drop_link(&mut self, id: u64) -> Option<Name> {
        let peer = self.links.remove(&id)?.peer?;
        if self.by_peer.get(&peer) == Some(&id) {
            self.by_peer.remove(&peer);
            return Some(peer);
        }
        None
    }

    fn silent(&self, now: Instant) -> Vec<u64> {
        let silent = self.links.iter().filter(|(_, link)| link.is_silent(now));
        silent.map(|(id, _)| *id).collect()
    }

    /// Peers that we are to dial and have no link with.
    fn missing(&self) -> Vec<Peer> {
        let is_dialled =
            |peer: &Peer| self.links.values().any(|link| link.dialled.as_ref() == Some(&peer.name));
        let ours = self.peers.iter().filter(|peer| self.identity.member < peer.name);
        let missing = ours.filter(|peer| !self.by_peer.contains_key(&peer.name));
        missing.filter(|peer| !is_dialled(peer)).cloned().collect()
    }
}

impl Caretaker {
    fn init(
        cx: CX![],
        state: Shared,
        poll: MioPoll,
        listener: TcpListener,
        inputs: Fwd<Input>,
    ) -> Option<Self> {
        let ready = fwd_to!([cx], accept() as (Ready));
        let listener = poll.add(listener, Interest::READABLE, 5, ready).ok()?;
        after!(CARE_INTERVAL, [cx], care());
        Some(Self { state, poll, listener, inputs })
    }

    fn accept(&mut self, cx: CX![], _ready: Ready) {
        while let Ok((stream, _from)) = self.listener.accept() {
            self.add(cx, stream, None);
        }
    }

    fn add(&mut self, cx: CX![], stream: TcpStream, dialled: Option<Name>) {
        let id = {
            let mut state = self.state.borrow_mut();
            state.next += 1;
            state.next
        };
        let ready = fwd_to!([cx], ready(id) as (Ready));
        if let Ok(link) = Link::new(&self.poll, stream, dialled, cx.now(), ready) {
            let mut state = self.state.borrow_mut();
            state.links.insert(id, link);
            state.greet(id);
        }
    }

    fn ready(&mut self, cx: CX![], id: u64, _ready: Ready) {
        let now = cx.now();
        let Some(found) = self.state.borrow_mut().exchange(id, now) else {
            return;
        };
        let mut is_over = found.is_over;
        for frame in found.frames {
            is_over |= !self.take(id, frame);
        }
        if is_over {
            self.drop_link(id);
        }
    }

    /// Takes one frame; false where the link must go.
    fn take(&mut self, id: u64, frame: Frame) -> bool {
        let peer = {
            let state = self.state.borrow();
            state.links.get(&id).and_then(|link| link.peer.clone())
        };
        if let Some(peer) = peer {
            fwd!([self.inputs], Input::Frame(peer, frame));
            return true;
        }
        let cell = self.state.borrow().identity.cell.clone();
        match check_greeting(&frame, &cell) {
            Ok(peer) => {
                self.welcome(id, peer);
                true
            }
            Err(reason) => {
                fwd!([self.inputs], Input::Refused(reason));
                false
            }
        }
    }

    fn welcome(&mut self, id: u64, peer: Name) {
        let old = {
            let mut state = self.state.borrow_mut();
            if let Some(link) = state.links.get_mut(&id) {
                link.peer = Some(peer.clone());
            }
            let old = state.by_peer.insert(peer.clone(), id);
            if let Some(old) = old {
                state.links.remove(&old);
            }
            old
        };
        if old.is_some() {
            fwd!([self.inputs], Input::Down(peer.clone()));
        }
        fwd!([self.inputs], Input::Up(peer));
    }

    fn drop_link(&mut self, id: u64) {
        let peer = self.state.borrow_mut().drop_link(id);
        if let Some(peer) = peer {
            fwd!([self.inputs], Input::Down(peer));
        }
    }

    fn care(&mut self, cx: CX![]) {
        let silent = self.state.borrow().silent(cx.now());
        for id in silent {
            let peer = self.state.borrow().links.get(&id).and_then(|link| link.peer.clone());
            if let Some(peer) = peer {
                fwd!([self.inputs], Input::Silent(peer));
            }
            self.drop_link(id);
        }
        let missing = self.state.borrow().missing();
        for peer in missing {
            if let Ok(stream) = TcpStream::connect(peer.address) {
                self.add(cx, stream, Some(peer.name));
            }
        }
        after!(CARE_INTERVAL, [cx], care());
    }
}
