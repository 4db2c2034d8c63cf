//! HTTP server of the stand-in: every part of the platform on one port.
//!
//! Tests change its behaviour through `/control` and read what it observed from `/counts`
//! and `/ran`.

use std::collections::HashSet;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Instant;

use common::Name;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use settings::Inventory;
use tiny_http::{Request, Response};

use crate::executors::Executors;
use crate::faults::{Faults, InjectedFault};
use crate::objects::Objects;
use crate::table::Table;
use crate::work;
use crate::workers::Workers;

/// Number of threads that serve requests; each executor request holds one while it runs.
const SERVER_THREADS: usize = 256;

common::record! {
    /// Body of `/control`: a change to the stand-in's behaviour.
    #[derive(Default)]
    pub struct Control {
        /// Faults that replace all current ones; `None` keeps them.
        #[serde(default)]
        pub faults: Option<Faults>,
        /// VMs that replace the set of leaving VMs; `None` keeps it.
        #[serde(default)]
        pub leaving: Option<HashSet<Name>>,
        /// Workers whose tasks all fail from now on.
        #[serde(default)]
        pub failing: Vec<Name>,
        /// Workers whose tasks stop failing.
        #[serde(default)]
        pub mended: Vec<Name>,
        /// Workers that stop answering calls.
        #[serde(default)]
        pub silent: Vec<Name>,
        /// Workers that answer calls again.
        #[serde(default)]
        pub speaking: Vec<Name>,
    }
}

/// State of all parts of the platform.
#[derive(Debug, Default)]
struct PlatformState {
    table: Mutex<Table>,
    objects: Mutex<Objects>,
    workers: Mutex<Workers>,
    executors: Mutex<Executors>,
    faults: Mutex<Faults>,
}

/// Status and body of one HTTP reply.
struct Reply {
    status: u16,
    body: Vec<u8>,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serves an inventory's platform in the background until the process ends.
///
/// Returns the bound address.
///
/// # Errors
///
/// The I/O error if the address cannot be bound.
pub fn start(address: SocketAddr, inventory: &Inventory) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    socket2::SockRef::from(&listener).set_tcp_nodelay(true)?;
    let address = listener.local_addr()?;
    let server = tiny_http::Server::from_listener(listener, None);
    let server = Arc::new(server.map_err(std::io::Error::other)?);
    let platform = Arc::new(PlatformState {
        workers: Mutex::new(Workers::new(inventory)),
        executors: Mutex::new(Executors::new(inventory)),
        ..PlatformState::default()
    });
    for _ in 0..SERVER_THREADS {
        let (server, platform) = (Arc::clone(&server), Arc::clone(&platform));
        thread::spawn(move || {
            while let Ok(request) = server.recv() {
                platform.handle_request(request);
            }
        });
    }
    Ok(address)
}

impl PlatformState {
    fn handle_request(&self, mut request: Request) {
        let mut body = Vec::new();
        if request.as_reader().read_to_end(&mut body).is_err() {
            return;
        }
        let url = request.url().to_owned();
        let segments: Vec<&str> = url.split('/').filter(|part| !part.is_empty()).collect();
        let part = segments.first().copied().unwrap_or("");
        let fault = lock(&self.faults).for_call(part);
        thread::sleep(fault.delay);
        let is_silent = part == "workers"
            && segments.get(1).is_some_and(|worker| lock(&self.workers).is_silent(worker));
        let reply = self.reply_unless_lost(&request, &segments, &body, fault, is_silent);
        let Some(reply) = reply else { return drop_connection(request) };
        let response = Response::from_data(reply.body).with_status_code(reply.status);
        // The caller may have closed the connection already.
        let _ = request.respond(response);
    }

    /// Carries out a request; `None` if no reply is to be sent.
    ///
    /// A refused call and a call to a silent worker have no effect; a call whose reply is lost has.
    fn reply_unless_lost(
        &self,
        request: &Request,
        segments: &[&str],
        body: &[u8],
        fault: InjectedFault,
        is_silent: bool,
    ) -> Option<Reply> {
        if is_silent || fault.refuse {
            return None;
        }
        let reply = self.route(request, segments, body);
        if fault.lose { None } else { Some(reply) }
    }

    fn route(&self, request: &Request, segments: &[&str], body: &[u8]) -> Reply {
        let method = request.method().as_str();
        match (method, segments) {
            ("POST", ["table", "read"]) => {
                with_json(body, |query| json!({ "rows": lock(&self.table).read(&query) }))
            }
            ("POST", ["table", "commit"]) => {
                with_json(body, |commit| lock(&self.table).commit(commit))
            }
            ("GET", ["objects", key]) => match lock(&self.objects).get(key) {
                Some(body) => Reply { status: 200, body },
                None => text_reply(404, "no such object"),
            },
            ("PUT", ["objects", key]) => {
                lock(&self.objects).put(key, body.to_vec());
                text_reply(200, "")
            }
            ("DELETE", ["objects", key]) => {
                lock(&self.objects).delete(key);
                text_reply(200, "")
            }
            ("POST", ["workers", worker, operation]) => self.worker_reply(worker, operation, body),
            ("POST", ["executors", executor]) => self.executor_reply(request, executor, body),
            ("GET", ["fleet"]) => json_reply(&json!({ "vms": lock(&self.workers).vms() })),
            ("POST", ["control"]) => with_json(body, |control| self.apply_control(control)),
            ("GET", ["counts"]) => json_reply(&self.counts()),
            ("GET", ["ran"]) => json_reply(&self.started_requests()),
            _ => text_reply(404, "no such path"),
        }
    }

    /// Carries out one operation of a worker.
    fn worker_reply(&self, worker: &str, operation: &str, body: &[u8]) -> Reply {
        let now = Instant::now();
        let mut workers = lock(&self.workers);
        match operation {
            "start" => try_with_json(body, |start| workers.start(worker, start, now)),
            "renew" => try_with_json(body, |renew| {
                workers.renew(worker, &renew, now).map(|tasks| json!({ "tasks": tasks }))
            }),
            "stop" => try_with_json(body, |stop| workers.stop(worker, &stop, now)),
            "throttle" => try_with_json(body, |throttle| workers.throttle(worker, &throttle)),
            _ => text_reply(404, "no such operation"),
        }
    }

    /// Runs the work of a payload on an executor; blocks for its duration.
    fn executor_reply(&self, request: &Request, executor: &str, body: &[u8]) -> Reply {
        let mut headers = request.headers().iter();
        let id = headers.find(|header| header.field.equiv("x-request"));
        let id = id.map(|header| header.value.as_str().to_owned()).unwrap_or_default();
        let payload = String::from_utf8_lossy(body).into_owned();
        let work = work::parse(&payload);
        if !lock(&self.executors).begin(executor, &id, work.is_once) {
            return text_reply(404, "no such executor");
        }
        thread::sleep(work.length.unwrap_or_default());
        lock(&self.executors).end(executor);
        if work.fails {
            return text_reply(422, "the work failed");
        }
        text_reply(200, &format!("result of {id}"))
    }

    fn apply_control(&self, control: Control) -> serde_json::Value {
        if let Some(faults) = control.faults {
            *lock(&self.faults) = faults;
        }
        let mut workers = lock(&self.workers);
        if let Some(leaving) = control.leaving {
            lock(&self.executors).set_leaving(leaving.clone());
            workers.set_leaving(leaving);
        }
        for worker in control.failing {
            workers.set_failing(&worker, true);
        }
        for worker in control.mended {
            workers.set_failing(&worker, false);
        }
        for worker in control.silent {
            workers.set_silent(&worker, true);
        }
        for worker in control.speaking {
            workers.set_silent(&worker, false);
        }
        json!({})
    }

    fn counts(&self) -> serde_json::Value {
        let mut workers = lock(&self.workers);
        workers.advance(Instant::now());
        let table = lock(&self.table);
        json!({
            "workers": workers.counts,
            "executors": lock(&self.executors).counts,
            "table": {
                "commits": table.commits,
                "writes": table.writes,
                "queries": table.queries,
                "reads": table.reads,
            },
        })
    }

    fn started_requests(&self) -> serde_json::Value {
        let mut ran = lock(&self.workers).started_requests();
        ran.extend(lock(&self.executors).started_requests());
        json!({ "ran": ran })
    }
}

/// Closes the connection without a reply.
fn drop_connection(request: Request) {
    drop(request.into_writer());
}

fn text_reply(status: u16, text: &str) -> Reply {
    Reply { status, body: text.as_bytes().to_vec() }
}

fn json_reply(value: &impl Serialize) -> Reply {
    Reply { status: 200, body: serde_json::to_vec(value).unwrap_or_default() }
}

/// Replies with a function's output for the parsed body; 400 if parsing fails.
fn with_json<I: DeserializeOwned, O: Serialize>(body: &[u8], run: impl FnOnce(I) -> O) -> Reply {
    match serde_json::from_slice(body) {
        Ok(input) => json_reply(&run(input)),
        Err(error) => text_reply(400, &error.to_string()),
    }
}

/// Like [`with_json`], but replies 409 with the text of an error that the function returns.
fn try_with_json<I, O>(body: &[u8], run: impl FnOnce(I) -> Result<O, String>) -> Reply
where
    I: DeserializeOwned,
    O: Serialize,
{
    match serde_json::from_slice(body).map(run) {
        Ok(Ok(output)) => json_reply(&output),
        Ok(Err(message)) => text_reply(409, &message),
        Err(error) => text_reply(400, &error.to_string()),
    }
}
