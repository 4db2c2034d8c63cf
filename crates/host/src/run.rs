//! Event loop: a `stakker` actor that owns the node, resumed by inputs and timers.

use std::cell::RefCell;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

use control::{Action, Backlog, Input, Node, QueuedInput};
use rustix::time::{ClockId, clock_gettime};
use stakker::{ActorOwn, CX, Stakker, actor, after, call, ret_nop};

use crate::mesh::Mesh;

/// Longest sleep of the event loop without an input or a timer.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Time after which the event loop yields although inputs are queued.
const MAX_TURN: Duration = Duration::from_millis(10);

/// Shortest suspension of the machine that is reported to the node; shorter ones add up to it.
const MIN_SUSPENSION: Duration = Duration::from_millis(100);

/// Queued inputs and the waker of the event loop.
#[derive(Debug)]
struct QueueState {
    /// Time zero of the node's clock.
    started: Instant,
    backlog: RefCell<Backlog>,
    /// Set while the event loop waits for an input.
    waker: RefCell<Option<Waker>>,
}

/// Queue of inputs to the node; clones share it.
#[derive(Debug, Clone)]
pub struct InputQueue {
    state: Rc<QueueState>,
}

impl Default for InputQueue {
    fn default() -> Self {
        let state = QueueState {
            started: Instant::now(),
            backlog: RefCell::default(),
            waker: RefCell::default(),
        };
        Self { state: Rc::new(state) }
    }
}

impl InputQueue {
    /// Adds an input and wakes the event loop.
    pub fn push(&self, input: Input) {
        self.state.backlog.borrow_mut().push(self.state.started.elapsed(), input);
        if let Some(waker) = self.state.waker.take() {
            waker.wake();
        }
    }

    /// Removes and returns the inputs to handle next, and the number of inputs queued before.
    fn take_batch(&self) -> (Vec<QueuedInput>, usize) {
        let mut backlog = self.state.backlog.borrow_mut();
        let queued = backlog.len();
        (backlog.take_batch(), queued)
    }

    /// Whether any input is queued.
    fn has_input(&self) -> bool {
        !self.state.backlog.borrow().is_empty()
    }

    /// Waits until an input is queued.
    async fn wait(&self) {
        std::future::poll_fn(|context| {
            if self.has_input() {
                return Poll::Ready(());
            }
            self.state.waker.replace(Some(context.waker().clone()));
            Poll::Pending
        })
        .await;
    }
}

/// Performs the node's actions that need I/O outside this crate.
pub trait Driver {
    /// Starts an action without blocking; its outcome is pushed to the input queue.
    fn perform(&self, action: Action);
}

/// Actor that owns the node and routes its actions.
struct NodeActor {
    node: Node,
    driver: Rc<dyn Driver>,
    mesh: Mesh,
    inputs: InputQueue,
    /// Time zero of the node's clock.
    started: Instant,
    /// Total suspension of the machine that was reported to the node.
    suspended_total: Duration,
}

impl NodeActor {
    #[expect(clippy::unnecessary_wraps, reason = "stakker expects an Option")]
    fn start(cx: CX![], initial: Self) -> Option<Self> {
        call!([cx], tick());
        Some(initial)
    }

    /// Passes an input to the node and performs the resulting actions.
    fn handle_input(&mut self, cx: CX![], input: Input) {
        let now = cx.now().saturating_duration_since(self.started);
        let actions = self.node.handle(now, input);
        self.perform(actions);
    }

    /// Passes the queued inputs to the node in batches and performs the resulting actions.
    fn handle_inputs(&mut self, _cx: CX![]) {
        let began = Instant::now();
        while began.elapsed() < MAX_TURN {
            let (batch, queued) = self.inputs.take_batch();
            if batch.is_empty() {
                return;
            }
            let actions = self.node.handle_batch(self.started.elapsed(), batch, queued);
            self.perform(actions);
        }
    }

    /// Starts actions.
    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Connect { link, address } => self.mesh.connect(link, address),
                Action::Send { link, frame } => self.mesh.send(link, frame),
                Action::Close { link } => self.mesh.close(link),
                other => self.driver.perform(other),
            }
        }
        self.node.record_actions_started();
    }

    /// Reports a suspension to the node before any input that arrived during it.
    fn check_suspension(&mut self, cx: CX![]) {
        let suspended_total = total_suspension();
        let suspended_for = suspended_total.saturating_sub(self.suspended_total);
        if suspended_for >= MIN_SUSPENSION {
            self.suspended_total = suspended_total;
            self.handle_input(cx, Input::Resumed { suspended_for });
        }
    }

    /// Passes a tick to the node and schedules the next one.
    fn tick(&mut self, cx: CX![]) {
        self.handle_input(cx, Input::Tick);
        after!(self.node.tick_interval(), [cx], tick());
    }
}

/// Returns how long the machine has been suspended in total since it booted.
fn total_suspension() -> Duration {
    let since_boot = clock_gettime(ClockId::Boottime);
    let monotonic = clock_gettime(ClockId::Monotonic);
    let to_duration = |spec: rustix::time::Timespec| {
        Duration::new(spec.tv_sec.unsigned_abs(), spec.tv_nsec.unsigned_abs() as u32)
    };
    to_duration(since_boot).saturating_sub(to_duration(monotonic))
}

/// Runs a node's event loop until the task is dropped.
pub async fn run(node: Node, driver: Rc<dyn Driver>, mesh: Mesh, inputs: InputQueue) {
    let started = inputs.state.started;
    let mut stakker = Stakker::new(started);
    let s = &mut stakker;
    let suspended_total = total_suspension();
    let initial =
        NodeActor { node, driver, mesh, inputs: inputs.clone(), started, suspended_total };
    let actor: ActorOwn<NodeActor> = actor!(s, NodeActor::start(initial), ret_nop!());
    loop {
        call!([actor], check_suspension());
        if inputs.has_input() {
            call!([actor], handle_inputs());
        }
        s.run(Instant::now(), false);
        let sleep = s.next_wait_max(Instant::now(), MAX_SLEEP, false);
        if sleep.is_zero() || inputs.has_input() {
            // Sockets are read and written between turns, and before a timer that is due:
            // what a peer has sent counts before its silence does.
            tokio::task::yield_now().await;
            continue;
        }
        tokio::select! {
            () = inputs.wait() => {}
            () = tokio::time::sleep(sleep) => {}
        }
    }
}
