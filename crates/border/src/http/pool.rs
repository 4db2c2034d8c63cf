//! A bounded thread pool for blocking calls; results are delivered on the event loop.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::sync::mpsc::{Receiver, Sender, SyncSender, TrySendError, channel, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use stakker::{Core, Ret, Waker, ret};

/// A queued call and its id.
type Job<T> = (u64, Box<dyn FnOnce() -> T + Send>);
/// Receivers of the results of unfinished calls, by call id.
type Pending<T> = Rc<RefCell<HashMap<u64, Ret<T>>>>;

/// A thread pool for blocking calls that return a `T`; threads start on demand.
pub struct ThreadPool<T: 'static> {
    name: String,
    job_sender: SyncSender<Job<T>>,
    job_receiver: Arc<Mutex<Receiver<Job<T>>>>,
    result_sender: Sender<(u64, T)>,
    waker: Arc<Waker>,
    pending: Pending<T>,
    last_id: u64,
    threads: usize,
    max_threads: usize,
}

impl<T> fmt::Debug for ThreadPool<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let pending = self.pending.borrow().len();
        f.debug_struct("ThreadPool").field("pending", &pending).finish_non_exhaustive()
    }
}

impl<T: Send + 'static> ThreadPool<T> {
    /// Creates a pool of up to `max_threads` threads and `max_queued` waiting calls.
    pub fn new(core: &mut Core, name: &str, max_threads: usize, max_queued: usize) -> Self {
        let (job_sender, job_receiver) = sync_channel(max_queued);
        let (result_sender, result_receiver) = channel();
        let pending = Pending::default();
        let waker = Arc::new(deliver_results_on_wake(core, result_receiver, Rc::clone(&pending)));
        let job_receiver = Arc::new(Mutex::new(job_receiver));
        let name = name.to_owned();
        Self {
            name,
            job_sender,
            job_receiver,
            result_sender,
            waker,
            pending,
            last_id: 0,
            threads: 0,
            max_threads,
        }
    }

    /// Runs a call on a thread; returns `queue_full` immediately if the queue is full.
    pub fn run(&mut self, ret: Ret<T>, queue_full: T, call: impl FnOnce() -> T + Send + 'static) {
        self.last_id += 1;
        let id = self.last_id;
        match self.job_sender.try_send((id, Box::new(call))) {
            Ok(()) => {
                self.pending.borrow_mut().insert(id, ret);
                self.start_thread_if_needed();
            }
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => ret!([ret], queue_full),
        }
    }

    /// Starts another thread if all may be busy and the limit is not reached.
    fn start_thread_if_needed(&mut self) {
        if self.threads >= self.max_threads || self.pending.borrow().len() <= self.threads {
            return;
        }
        let (job_receiver, result_sender, waker) =
            (Arc::clone(&self.job_receiver), self.result_sender.clone(), Arc::clone(&self.waker));
        let thread = thread::Builder::new().name(format!("{}-{}", self.name, self.threads));
        // If the system cannot start a thread, the call waits for one of the existing threads.
        let spawned = thread.spawn(move || run_jobs(&job_receiver, &result_sender, &waker));
        self.threads += usize::from(spawned.is_ok());
    }
}

/// Registers a waker that delivers finished calls' results on the event loop.
fn deliver_results_on_wake<T: 'static>(
    core: &mut Core,
    result_receiver: Receiver<(u64, T)>,
    pending: Pending<T>,
) -> Waker {
    core.waker(move |_, _| {
        while let Ok((id, result)) = result_receiver.try_recv() {
            let receiver = pending.borrow_mut().remove(&id);
            if let Some(ret) = receiver {
                ret!([ret], result);
            }
        }
    })
}

/// Runs queued calls on the current thread until the pool is dropped.
fn run_jobs<T>(
    job_receiver: &Mutex<Receiver<Job<T>>>,
    result_sender: &Sender<(u64, T)>,
    waker: &Waker,
) {
    loop {
        let job = job_receiver.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok((id, call)) = job else { return };
        if result_sender.send((id, call())).is_err() {
            return;
        }
        waker.wake();
    }
}
