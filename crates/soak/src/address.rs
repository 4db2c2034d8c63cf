//! Addresses as each daemon must see them, so that all its traffic passes its own proxies.
//!
//! A daemon listens on a real address and advertises it. Every other daemon must reach it through
//! the proxy between the two, so addresses are translated on their way: in the store's rows and in
//! the frames between daemons.

use std::collections::HashMap;

use control::{Body, Frame, Head};
use serde_json::Value;

/// Table of the pool's own rows.
const POOL_TABLE: &str = "bronzerail";

/// Key of the row that names the leader.
const HEAD_KEY: &str = "head";

/// Table of the workers' rows.
const WORKER_TABLE: &str = "servers";

/// Real addresses of the daemons and the addresses of all proxies.
#[derive(Debug, Default)]
pub struct Directory {
    /// Real peer address of each daemon.
    daemons: Vec<String>,
    /// Daemon that an address leads to, for real addresses and proxies.
    targets: HashMap<String, usize>,
    /// Proxy from one daemon to another.
    peer_proxies: HashMap<(usize, usize), String>,
    /// Proxy from a daemon to the worker with an id.
    worker_proxies: HashMap<(usize, String), String>,
}

impl Directory {
    /// Creates a directory of daemons without proxies.
    pub fn new(daemons: Vec<String>) -> Self {
        let targets =
            daemons.iter().enumerate().map(|(daemon, address)| (address.clone(), daemon)).collect();
        Self { daemons, targets, ..Self::default() }
    }

    /// Adds the proxy from one daemon to another.
    pub fn add_peer(&mut self, from: usize, to: usize, proxy: String) {
        self.targets.insert(proxy.clone(), to);
        self.peer_proxies.insert((from, to), proxy);
    }

    /// Adds the proxy from a daemon to a worker.
    pub fn add_worker(&mut self, from: usize, worker: &str, proxy: String) {
        self.worker_proxies.insert((from, worker.to_owned()), proxy);
    }

    /// Daemon with a real peer address or behind a proxy; `None` if there is no such daemon.
    pub fn daemon_at(&self, address: &str) -> Option<usize> {
        self.targets.get(address).copied()
    }

    /// Address that a daemon must use for the daemon behind `address`: its own real address or its
    /// proxy. Other addresses stay as they are.
    pub fn peer_for(&self, viewer: usize, address: &str) -> String {
        let Some(target) = self.daemon_at(address) else { return address.to_owned() };
        let proxy = self.peer_proxies.get(&(viewer, target)).filter(|_| target != viewer);
        proxy.unwrap_or(&self.daemons[target]).clone()
    }

    /// Translates all addresses in a frame for the daemon that receives it.
    pub fn rewrite_frame(&self, receiver: usize, frame: &mut Frame) {
        let translate = |address: &mut String| *address = self.peer_for(receiver, address);
        match &mut frame.body {
            Some(Body::Hello(hello)) => translate(&mut hello.address),
            Some(Body::Welcome(welcome)) => translate(&mut welcome.known_leader),
            Some(Body::Members(members)) => members.addresses.iter_mut().for_each(translate),
            Some(Body::Announce(announcement)) => translate(&mut announcement.address),
            _ => {}
        }
    }

    /// Translates the address in a row of the store for the daemon that reads it.
    ///
    /// Rows of other tables, and rows that cannot be read, stay as they are.
    pub fn rewrite_row(&self, viewer: usize, table: &str, key: &str, value: Vec<u8>) -> Vec<u8> {
        match (table, key) {
            (POOL_TABLE, HEAD_KEY) => self.rewrite_head(viewer, value),
            (WORKER_TABLE, _) => self.rewrite_worker(viewer, key, value),
            _ => value,
        }
    }

    fn rewrite_head(&self, viewer: usize, value: Vec<u8>) -> Vec<u8> {
        let Ok(mut head) = Head::from_row(&value) else { return value };
        let address = self.peer_for(viewer, &head.address);
        if address == head.address {
            return value;
        }
        head.address = address;
        head.to_row()
    }

    fn rewrite_worker(&self, viewer: usize, worker: &str, value: Vec<u8>) -> Vec<u8> {
        let Some(proxy) = self.worker_proxies.get(&(viewer, worker.to_owned())) else {
            return value;
        };
        let Ok(mut row) = serde_json::from_slice::<Value>(&value) else { return value };
        let Some(address) = row.get_mut("address") else { return value };
        *address = Value::from(proxy.as_str());
        row.to_string().into_bytes()
    }
}
