//! Event loop: a `stakker` actor that owns the node, resumed by inputs and timers.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use control::{Action, Input, Node};
use rustix::time::{ClockId, clock_gettime};
use stakker::{ActorOwn, CX, Stakker, actor, after, call, ret_nop};
use tokio::sync::Notify;

use crate::mesh::Mesh;

/// Longest sleep of the event loop without an input or a timer.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Shortest suspension of the machine that is reported to the node.
const MIN_SUSPENSION: Duration = Duration::from_millis(100);

/// An input and the time at which it was queued.
#[derive(Debug)]
struct QueuedInput {
    queued_at: Instant,
    input: Input,
}

/// Queued inputs and the signal that wakes the event loop.
#[derive(Debug, Default)]
struct QueueState {
    inputs: RefCell<VecDeque<QueuedInput>>,
    wakeup: Notify,
}

/// Queue of inputs to the node; clones share it.
#[derive(Debug, Clone, Default)]
pub struct InputQueue {
    state: Rc<QueueState>,
}

impl InputQueue {
    /// Adds an input and wakes the event loop.
    pub fn push(&self, input: Input) {
        self.state.inputs.borrow_mut().push_back(QueuedInput { queued_at: Instant::now(), input });
        self.state.wakeup.notify_one();
    }

    /// Removes and returns all queued inputs, oldest first.
    fn take_all(&self) -> VecDeque<QueuedInput> {
        std::mem::take(&mut *self.state.inputs.borrow_mut())
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
    /// Time zero of the node's clock.
    started: Instant,
    /// Total suspension of the machine that was seen at the last check.
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
        for action in self.node.handle(now, input) {
            match action {
                Action::Connect { link, address } => self.mesh.connect(link, address),
                Action::Send { link, frame } => self.mesh.send(link, frame),
                Action::Close { link } => self.mesh.close(link),
                other => self.driver.perform(other),
            }
        }
        self.node.record_actions_started();
    }

    /// Passes an input of the queue to the node.
    fn handle_queued(&mut self, cx: CX![], queued: QueuedInput, length: usize) {
        self.node.record_queue(queued.queued_at.elapsed(), length);
        self.handle_input(cx, queued.input);
    }

    /// Reports a suspension to the node before any input that arrived during it.
    fn check_suspension(&mut self, cx: CX![]) {
        let suspended_total = total_suspension();
        let suspended_for = suspended_total.saturating_sub(self.suspended_total);
        self.suspended_total = suspended_total;
        if suspended_for >= MIN_SUSPENSION {
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
    let started = Instant::now();
    let mut stakker = Stakker::new(started);
    let s = &mut stakker;
    let initial = NodeActor { node, driver, mesh, started, suspended_total: total_suspension() };
    let actor: ActorOwn<NodeActor> = actor!(s, NodeActor::start(initial), ret_nop!());
    loop {
        call!([actor], check_suspension());
        let queued_inputs = inputs.take_all();
        let length = queued_inputs.len();
        for queued in queued_inputs {
            call!([actor], handle_queued(queued, length));
        }
        let now = Instant::now();
        s.run(now, false);
        let sleep = s.next_wait_max(Instant::now(), MAX_SLEEP, false);
        tokio::select! {
            () = inputs.state.wakeup.notified() => {}
            () = tokio::time::sleep(sleep) => {}
        }
    }
}
