//! Translation of addresses, and links under faults.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::BytesMut;
use control::{Announcement, Body, Frame, Head, Hello, Members, Welcome};
use serde_json::{Value, json};
use soak::address::Directory;
use soak::effect::{Effects, Node, State};
use soak::link::{Direction, Frames, Link, Mode, Plain, Traffic};
use soak::plan::{Kind, Spec, Target};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use wire::MessageCodec;

const SPEC: Spec = Spec { daemons: 4, workers: 4, zones: 2, length: Duration::from_secs(9) };

/// Three daemons at `real-N`, with proxies `N-to-M`, and a worker `w` behind `N-to-w`.
fn directory() -> Directory {
    let mut directory = Directory::new((0..3).map(|daemon| format!("real-{daemon}")).collect());
    for from in 0..3 {
        for to in (0..3).filter(|to| *to != from) {
            directory.add_peer(from, to, format!("{from}-to-{to}"));
        }
        directory.add_worker(from, "w", format!("{from}-to-w"));
    }
    directory
}

#[test]
fn peer_for_any_known_address_gives_own_proxy_or_own_real_address() {
    let directory = directory();
    assert_eq!(directory.peer_for(0, "real-1"), "0-to-1");
    assert_eq!(directory.peer_for(0, "2-to-1"), "0-to-1");
    assert_eq!(directory.peer_for(0, "0-to-1"), "0-to-1");
    assert_eq!(directory.peer_for(0, "real-0"), "real-0");
    assert_eq!(directory.peer_for(0, "1-to-0"), "real-0");
    assert_eq!(directory.peer_for(0, "elsewhere"), "elsewhere");
    assert_eq!(directory.peer_for(0, ""), "");
}

#[test]
fn rewrite_frame_each_address_is_the_receivers() {
    let directory = directory();
    let rewrite = |body: Body| {
        let mut frame = Frame::from(body);
        directory.rewrite_frame(2, &mut frame);
        frame.body.expect("a body")
    };
    let hello = Hello { member: "a".into(), address: "real-0".into(), ..Hello::default() };
    let expected = Hello { address: "2-to-0".into(), ..hello.clone() };
    assert_eq!(rewrite(Body::Hello(hello)), Body::Hello(expected));
    let welcome = Welcome { known_epoch: 4, known_leader: "0-to-1".into(), ..Welcome::default() };
    let expected = Welcome { known_leader: "2-to-1".into(), ..welcome.clone() };
    assert_eq!(rewrite(Body::Welcome(welcome)), Body::Welcome(expected));
    let addresses = ["real-0", "0-to-1", "0-to-2"].map(str::to_owned).to_vec();
    let members = Members { addresses, cpu_millis: vec![1, 2, 3], ..Members::default() };
    let addresses = ["2-to-0", "2-to-1", "real-2"].map(str::to_owned).to_vec();
    let expected = Members { addresses, ..members.clone() };
    assert_eq!(rewrite(Body::Members(members)), Body::Members(expected));
    let announcement = Announcement { epoch: 3, address: "real-1".into() };
    let expected = Announcement { address: "2-to-1".into(), ..announcement.clone() };
    assert_eq!(rewrite(Body::Announce(announcement)), Body::Announce(expected));
}

#[test]
fn rewrite_row_head_names_leader_by_proxy_except_for_itself() {
    let directory = directory();
    let head = Head { epoch: 5, address: "real-1".into(), commit: 9, ..Head::default() };
    let read = |viewer| {
        let value = directory.rewrite_row(viewer, "bronzerail", "head", head.to_row());
        Head::from_row(&value).expect("a head row")
    };
    assert_eq!(read(0), Head { address: "0-to-1".into(), ..head.clone() });
    assert_eq!(directory.rewrite_row(1, "bronzerail", "head", head.to_row()), head.to_row());
    assert_eq!(directory.rewrite_row(0, "bronzerail", "log/1", head.to_row()), head.to_row());
}

#[test]
fn rewrite_row_worker_has_viewers_proxy_and_other_fields_stay() {
    let directory = directory();
    let row = json!({"service": "s", "address": "127.0.0.1:9", "born": 4});
    let value = directory.rewrite_row(2, "servers", "w", row.to_string().into_bytes());
    let read: Value = serde_json::from_slice(&value).expect("JSON");
    assert_eq!(read, json!({"service": "s", "address": "2-to-w", "born": 4}));
    for odd in ["no JSON", "[]", "{}"] {
        let value = directory.rewrite_row(2, "servers", "w", odd.into());
        assert_eq!(value, odd.as_bytes());
    }
}

#[test]
fn filter_frames_in_pieces_are_translated_for_the_receiver() {
    let directory = Arc::new(Mutex::new(directory()));
    let traffic = Frames { directory, from: 0, to: 1 };
    let announcement = |address: &str| Announcement { epoch: 3, address: address.to_owned() };
    let mut bytes = BytesMut::new();
    let mut codec = MessageCodec::<Frame>::default();
    for address in ["real-2", "real-1"] {
        codec.encode(&Body::Announce(announcement(address)).into(), &mut bytes).expect("a frame");
    }
    for (direction, expected) in
        [(Direction::Forward, ["1-to-2", "real-1"]), (Direction::Backward, ["0-to-2", "0-to-1"])]
    {
        let mut filter = traffic.filter(direction);
        let (mut input, mut output) = (BytesMut::new(), BytesMut::new());
        for byte in &bytes {
            input.extend_from_slice(&[*byte]);
            output.extend_from_slice(&filter.pass(&mut input).expect("valid frames"));
        }
        let decoded = [(); 2].map(|()| codec.decode(&mut output).expect("a frame").expect("whole"));
        let expected = expected.map(|address| Body::Announce(announcement(address)).into());
        assert_eq!(decoded, expected);
    }
}

#[test]
fn mode_two_silent_directions_are_a_cut() {
    let one = Mode::Silent { forward: true, backward: false };
    let other = Mode::Silent { forward: false, backward: true };
    assert_eq!(one.with(other), Mode::CUT);
    assert_eq!(Mode::Open.with(one), one);
    assert_eq!(Mode::CUT.with(Mode::Reset), Mode::Reset);
}

#[test]
fn effects_cut_leader_keeps_its_workers_and_loses_all_others() {
    let kind =
        Kind::Cut { daemons: vec![Target::Leader], workers: vec![0], workers_reach_store: false };
    let mut effects = Effects::new(&SPEC);
    effects.add(7, &kind, 1);
    let (leader, other) = (Node::Daemon(1), Node::Daemon(0));
    assert_eq!(effects.mode(leader, Node::Worker(0)), Mode::Open);
    assert_eq!(effects.mode(other, Node::Worker(1)), Mode::Open);
    for (from, to) in [
        (leader, Node::Worker(1)),
        (leader, Node::Store),
        (leader, other),
        (other, leader),
        (other, Node::Worker(0)),
    ] {
        assert_eq!(effects.mode(from, to), Mode::CUT);
    }
    assert!(!effects.reaches_store(0));
    assert!(effects.reaches_store(1));
    effects.remove(7);
    assert_eq!(effects.mode(leader, Node::Store), Mode::Open);
}

#[test]
fn effects_cut_zone_of_the_leader_keeps_links_within_it() {
    let mut effects = Effects::new(&SPEC);
    effects.add(1, &Kind::CutLeaderZone { workers_reach_store: false }, 3);
    assert_eq!(effects.mode(Node::Daemon(3), Node::Daemon(1)), Mode::Open);
    assert_eq!(effects.mode(Node::Daemon(1), Node::Worker(3)), Mode::Open);
    assert_eq!(effects.mode(Node::Daemon(0), Node::Worker(2)), Mode::Open);
    assert_eq!(effects.mode(Node::Daemon(1), Node::Store), Mode::CUT);
    assert_eq!(effects.mode(Node::Daemon(2), Node::Daemon(3)), Mode::CUT);
    assert_eq!(effects.mode(Node::Daemon(3), Node::Worker(0)), Mode::CUT);
    assert!(!effects.reaches_store(1));
    assert!(effects.reaches_store(2));
}

#[test]
fn effects_of_a_killed_and_stopped_daemon_are_those_of_the_kill() {
    let mut effects = Effects::new(&SPEC);
    effects.add(1, &Kind::Stop(Target::Leader), 2);
    effects.add(2, &Kind::Kill(Target::Daemon(2)), 0);
    assert_eq!(effects.state(Node::Daemon(2)), State::Dead);
    effects.remove(2);
    assert_eq!(effects.state(Node::Daemon(2)), State::Stopped);
    assert_eq!(effects.state(Node::Daemon(1)), State::Running);
}

/// Listener and a link to it.
async fn listen() -> (TcpListener, Link) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let target: SocketAddr = listener.local_addr().expect("an address");
    let link = Link::open(target, Arc::new(Plain)).await.expect("a link");
    (listener, link)
}

#[tokio::test]
async fn link_silent_delivers_bytes_of_a_closed_sender_once_open() {
    let (listener, link) = listen().await;
    let mut sender = TcpStream::connect(link.address).await.expect("a connection");
    sender.write_all(b"one ").await.expect("a write");
    let (mut receiver, _) = listener.accept().await.expect("a connection");
    let mut first = [0; 4];
    receiver.read_exact(&mut first).await.expect("bytes");
    link.set_mode(Mode::CUT);
    sender.write_all(b"two").await.expect("a write");
    drop(sender);
    link.set_mode(Mode::Open);
    let mut rest = Vec::new();
    receiver.read_to_end(&mut rest).await.expect("bytes");
    assert_eq!((&first, &*rest), (b"one ", b"two".as_slice()));
}

#[tokio::test]
async fn link_reset_ends_open_and_new_connections() {
    let (listener, link) = listen().await;
    let mut open = TcpStream::connect(link.address).await.expect("a connection");
    open.write_all(b"x").await.expect("a write");
    let (mut receiver, _) = listener.accept().await.expect("a connection");
    receiver.read_exact(&mut [0]).await.expect("a byte");
    link.set_mode(Mode::Reset);
    let error = open.read(&mut [0]).await.expect_err("a reset connection");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    // The reset may come before or after the new connection is made.
    if let Ok(mut new) = TcpStream::connect(link.address).await {
        new.read(&mut [0]).await.expect_err("a reset connection");
    }
}
