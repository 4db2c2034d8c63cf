//! All parts of the platform on one HTTP port, and `/control`, `/counts` for tests.

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
use crate::faults::{Faults, Verdict};
use crate::objects::Objects;
use crate::table::Table;
use crate::work;
use crate::workers::Workers;

/// Threads that serve requests; executors hold one for each request that they work on.
const THREADS: usize = 256;

common::record! {
    /// A change of the stand-in's behaviour.
    #[derive(Default)]
    pub struct Control {
        /// Replaces all faults.
        #[serde(default)]
        pub faults: Option<Faults>,
        /// Replaces the VMs that are leaving.
        #[serde(default)]
        pub leaving: Option<HashSet<Name>>,
        /// Workers that fail everything from now on.
        #[serde(default)]
        pub failing: Vec<Name>,
        /// Workers that fail no more.
        #[serde(default)]
        pub mended: Vec<Name>,
        /// Workers that answer nobody from now on.
        #[serde(default)]
        pub silent: Vec<Name>,
        /// Workers that answer again.
        #[serde(default)]
        pub speaking: Vec<Name>,
    }
}

#[derive(Debug, Default)]
struct Platform {
    table: Mutex<Table>,
    objects: Mutex<Objects>,
    workers: Mutex<Workers>,
    executors: Mutex<Executors>,
    faults: Mutex<Faults>,
}

/// The answer to one request.
struct Reply {
    status: u16,
    body: Vec<u8>,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serves an inventory's platform on an address until the process ends.
///
/// Gives the address that it listens on.
///
/// # Errors
///
/// The system's error where the address cannot be bound.
pub fn start(address: SocketAddr, inventory: &Inventory) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    socket2::SockRef::from(&listener).set_tcp_nodelay(true)?;
    let address = listener.local_addr()?;
    let server = tiny_http::Server::from_listener(listener, None);
    let server = Arc::new(server.map_err(std::io::Error::other)?);
    let platform = Arc::new(Platform {
        workers: Mutex::new(Workers::new(inventory)),
        executors: Mutex::new(Executors::new(inventory)),
        ..Platform::default()
    });
    for _ in 0..THREADS {
        let (server, platform) = (Arc::clone(&server), Arc::clone(&platform));
        thread::spawn(move || {
            while let Ok(request) = server.recv() {
                platform.serve(request);
            }
        });
    }
    Ok(address)
}

impl Platform {
    fn serve(&self, mut request: Request) {
        let mut body = Vec::new();
        if request.as_reader().read_to_end(&mut body).is_err() {
            return;
        }
        let url = request.url().to_owned();
        let segments: Vec<&str> = url.split('/').filter(|part| !part.is_empty()).collect();
        let part = segments.first().copied().unwrap_or("");
        let verdict = lock(&self.faults).judge(part);
        thread::sleep(verdict.delay);
        let is_silent = part == "workers"
            && segments.get(1).is_some_and(|worker| lock(&self.workers).is_silent(worker));
        let reply = self.reply(&request, &segments, &body, verdict, is_silent);
        let Some(reply) = reply else { return drop_connection(request) };
        let response = Response::from_data(reply.body).with_status_code(reply.status);
        // A caller that is gone gets no answer.
        let _ = request.respond(response);
    }

    /// The reply, or none where the answer is to be lost.
    fn reply(
        &self,
        request: &Request,
        segments: &[&str],
        body: &[u8],
        verdict: Verdict,
        is_silent: bool,
    ) -> Option<Reply> {
        if is_silent || verdict.refuse {
            return None;
        }
        let reply = self.route(request, segments, body);
        if verdict.lose { None } else { Some(reply) }
    }

    fn route(&self, request: &Request, segments: &[&str], body: &[u8]) -> Reply {
        let method = request.method().as_str();
        match (method, segments) {
            ("POST", ["table", "read"]) => {
                with(body, |query| json!({ "rows": lock(&self.table).read(&query) }))
            }
            ("POST", ["table", "commit"]) => with(body, |commit| lock(&self.table).commit(commit)),
            ("GET", ["objects", key]) => match lock(&self.objects).get(key) {
                Some(body) => Reply { status: 200, body },
                None => text(404, "no such object"),
            },
            ("PUT", ["objects", key]) => {
                lock(&self.objects).put(key, body.to_vec());
                text(200, "")
            }
            ("DELETE", ["objects", key]) => {
                lock(&self.objects).delete(key);
                text(200, "")
            }
            ("POST", ["workers", worker, verb]) => self.worker(worker, verb, body),
            ("POST", ["executors", executor]) => self.executor(request, executor, body),
            ("GET", ["fleet"]) => json_reply(&json!({ "vms": lock(&self.workers).vms() })),
            ("POST", ["control"]) => with(body, |control| self.control(control)),
            ("GET", ["counts"]) => json_reply(&self.counts()),
            ("GET", ["ran"]) => json_reply(&self.ran()),
            _ => text(404, "no such path"),
        }
    }

    fn worker(&self, worker: &str, verb: &str, body: &[u8]) -> Reply {
        let now = Instant::now();
        let mut workers = lock(&self.workers);
        match verb {
            "start" => try_with(body, |start| workers.start(worker, start, now)),
            "renew" => try_with(body, |renew| {
                workers.renew(worker, &renew, now).map(|tasks| json!({ "tasks": tasks }))
            }),
            "stop" => try_with(body, |stop| workers.stop(worker, &stop, now)),
            "throttle" => try_with(body, |throttle| workers.throttle(worker, &throttle)),
            _ => text(404, "no such verb"),
        }
    }

    fn executor(&self, request: &Request, executor: &str, body: &[u8]) -> Reply {
        let mut headers = request.headers().iter();
        let name = headers.find(|header| header.field.equiv("x-request"));
        let name = name.map(|header| header.value.as_str().to_owned()).unwrap_or_default();
        let payload = String::from_utf8_lossy(body).into_owned();
        let work = work::parse(&payload);
        if !lock(&self.executors).begin(executor, &name, work.is_once) {
            return text(404, "no such executor");
        }
        thread::sleep(work.length.unwrap_or_default());
        lock(&self.executors).end(executor);
        if work.fails {
            return text(422, "the work failed");
        }
        text(200, &format!("result of {name}"))
    }

    fn control(&self, control: Control) -> serde_json::Value {
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

    fn ran(&self) -> serde_json::Value {
        let mut ran = lock(&self.workers).ran();
        ran.extend(lock(&self.executors).ran());
        json!({ "ran": ran })
    }
}

/// Ends the connection without an answer.
fn drop_connection(request: Request) {
    drop(request.into_writer());
}

fn text(status: u16, text: &str) -> Reply {
    Reply { status, body: text.as_bytes().to_vec() }
}

fn json_reply(value: &impl Serialize) -> Reply {
    Reply { status: 200, body: serde_json::to_vec(value).unwrap_or_default() }
}

fn with<I: DeserializeOwned, O: Serialize>(body: &[u8], run: impl FnOnce(I) -> O) -> Reply {
    match serde_json::from_slice(body) {
        Ok(input) => json_reply(&run(input)),
        Err(error) => text(400, &error.to_string()),
    }
}

fn try_with<I, O>(body: &[u8], run: impl FnOnce(I) -> Result<O, String>) -> Reply
where
    I: DeserializeOwned,
    O: Serialize,
{
    match serde_json::from_slice(body).map(run) {
        Ok(Ok(output)) => json_reply(&output),
        Ok(Err(refusal)) => text(409, &refusal),
        Err(error) => text(400, &error.to_string()),
    }
}
