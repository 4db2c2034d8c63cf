//! The loop: a `stakker` actor that holds the node, woken by inputs and timers.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use control::{Action, Input, Node};
use rustix::time::{ClockId, clock_gettime};
use stakker::{ActorOwn, CX, Stakker, actor, after, call, ret_nop};
use tokio::sync::Notify;

use crate::mesh::Mesh;

/// Longest sleep of the loop.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Suspension worth telling the node about.
const LEAST_GAP: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Queue {
    inputs: RefCell<VecDeque<Input>>,
    wake: Notify,
}

/// Inputs on their way to the node; clones share one queue.
#[derive(Debug, Clone, Default)]
pub struct Inputs {
    queue: Rc<Queue>,
}

impl Inputs {
    /// Adds an input and wakes the loop.
    pub fn push(&self, input: Input) {
        self.queue.inputs.borrow_mut().push_back(input);
        self.queue.wake.notify_one();
    }

    fn take(&self) -> VecDeque<Input> {
        std::mem::take(&mut *self.queue.inputs.borrow_mut())
    }
}

/// Carries out what a node wants done outside.
pub trait Driver {
    /// Carries out an action; its outcome goes to the queue of inputs.
    fn perform(&self, action: Action);
}

/// The actor that holds the node.
struct Host {
    node: Node,
    driver: Rc<dyn Driver>,
    mesh: Mesh,
    began: Instant,
    drift: Duration,
}

impl Host {
    #[expect(clippy::unnecessary_wraps, reason = "the actor library asks for it")]
    fn start(cx: CX![], host: Self) -> Option<Self> {
        call!([cx], tick());
        Some(host)
    }

    fn input(&mut self, cx: CX![], input: Input) {
        let now = cx.now().saturating_duration_since(self.began);
        for action in self.node.handle(now, input) {
            match action {
                Action::Connect { link, address } => self.mesh.connect(link, address),
                Action::Send { link, frame } => self.mesh.send(link, frame),
                Action::Close { link } => self.mesh.close(link),
                other => self.driver.perform(other),
            }
        }
    }

    /// Tells the node of a suspension before anything else that came meanwhile.
    fn wake(&mut self, cx: CX![]) {
        let drift = suspended();
        let gap = drift.saturating_sub(self.drift);
        self.drift = drift;
        if gap >= LEAST_GAP {
            self.input(cx, Input::Woken { gap });
        }
    }

    fn tick(&mut self, cx: CX![]) {
        self.input(cx, Input::Tick);
        after!(self.node.tick_pause(), [cx], tick());
    }
}

/// How long the machine was suspended since it started.
fn suspended() -> Duration {
    let boot = clock_gettime(ClockId::Boottime);
    let steady = clock_gettime(ClockId::Monotonic);
    let span = |spec: rustix::time::Timespec| {
        Duration::new(spec.tv_sec.unsigned_abs(), spec.tv_nsec.unsigned_abs() as u32)
    };
    span(boot).saturating_sub(span(steady))
}

/// Runs a node until its task is dropped.
pub async fn run(node: Node, driver: Rc<dyn Driver>, mesh: Mesh, inputs: Inputs) {
    let began = Instant::now();
    let mut stakker = Stakker::new(began);
    let s = &mut stakker;
    let host = Host { node, driver, mesh, began, drift: suspended() };
    let actor: ActorOwn<Host> = actor!(s, Host::start(host), ret_nop!());
    loop {
        call!([actor], wake());
        for input in inputs.take() {
            call!([actor], input(input));
        }
        let now = Instant::now();
        s.run(now, false);
        let sleep = s.next_wait_max(Instant::now(), MAX_SLEEP, false);
        tokio::select! {
            () = inputs.queue.wake.notified() => {}
            () = tokio::time::sleep(sleep) => {}
        }
    }
}
