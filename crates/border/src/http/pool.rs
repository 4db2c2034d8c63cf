//! A bounded pool of threads for blocking calls; answers come back to the loop.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::sync::mpsc::{Receiver, Sender, SyncSender, TrySendError, channel, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use stakker::{Core, Ret, Waker, ret};

type Job<T> = (u64, Box<dyn FnOnce() -> T + Send>);
type Pending<T> = Rc<RefCell<HashMap<u64, Ret<T>>>>;

/// Threads that run blocking calls which give a `T`; they start as they are needed.
pub struct Pool<T: 'static> {
    name: String,
    jobs: SyncSender<Job<T>>,
    todo: Arc<Mutex<Receiver<Job<T>>>>,
    done: Sender<(u64, T)>,
    waker: Arc<Waker>,
    pending: Pending<T>,
    next: u64,
    threads: usize,
    most: usize,
}

impl<T> fmt::Debug for Pool<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let pending = self.pending.borrow().len();
        f.debug_struct("Pool").field("pending", &pending).finish_non_exhaustive()
    }
}

impl<T: Send + 'static> Pool<T> {
    /// A pool of at most `threads` threads with room for `queue` waiting calls.
    pub fn new(core: &mut Core, name: &str, threads: usize, queue: usize) -> Self {
        let (jobs, todo) = sync_channel(queue);
        let (done, results) = channel();
        let pending = Pending::default();
        let waker = Arc::new(answer_on_wake(core, results, Rc::clone(&pending)));
        let todo = Arc::new(Mutex::new(todo));
        let name = name.to_owned();
        Self { name, jobs, todo, done, waker, pending, next: 0, threads: 0, most: threads }
    }

    /// Runs a call on a thread; `busy` answers at once where the queue is full.
    pub fn run(&mut self, ret: Ret<T>, busy: T, call: impl FnOnce() -> T + Send + 'static) {
        self.next += 1;
        let id = self.next;
        match self.jobs.try_send((id, Box::new(call))) {
            Ok(()) => {
                self.pending.borrow_mut().insert(id, ret);
                self.grow();
            }
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => ret!([ret], busy),
        }
    }

    /// Starts a thread where all may be at work.
    fn grow(&mut self) {
        if self.threads >= self.most || self.pending.borrow().len() <= self.threads {
            return;
        }
        let (todo, done, waker) =
            (Arc::clone(&self.todo), self.done.clone(), Arc::clone(&self.waker));
        let thread = thread::Builder::new().name(format!("{}-{}", self.name, self.threads));
        // Where the system has no thread left, the call waits for one of the others.
        let spawned = thread.spawn(move || work(&todo, &done, &waker));
        self.threads += usize::from(spawned.is_ok());
    }
}

fn answer_on_wake<T: 'static>(
    core: &mut Core,
    results: Receiver<(u64, T)>,
    pending: Pending<T>,
) -> Waker {
    core.waker(move |_, _| {
        while let Ok((id, result)) = results.try_recv() {
            let found = pending.borrow_mut().remove(&id);
            if let Some(ret) = found {
                ret!([ret], result);
            }
        }
    })
}

fn work<T>(todo: &Mutex<Receiver<Job<T>>>, done: &Sender<(u64, T)>, waker: &Waker) {
    loop {
        let job = todo.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok((id, call)) = job else { return };
        if done.send((id, call())).is_err() {
            return;
        }
        waker.wake();
    }
}
