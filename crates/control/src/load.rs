//! Load of the event loop: time spent by kind of work, inputs by kind, and their age.

use std::rc::Rc;
use std::time::Duration;

use slog::{KV, Record, Serializer};

use crate::input::Input;
use crate::meter::{Counter, Gauge, Meter};

/// Age of an input from which it is handled late.
const LATE_INPUT_AGE: Duration = Duration::from_millis(250);

macro_rules! works {
    ($($name:ident $label:literal $time_key:literal $doc:literal;)*) => {
        common::key! {
            /// Kind of work in the event loop.
            pub(crate) enum Work {
                $(#[doc = $doc] $name,)*
            }
        }

        impl Work {
            const ALL: &[Self] = &[$(Self::$name,)*];

            /// Label of the metrics, and key of the number of inputs in the log.
            fn label(self) -> &'static str {
                match self { $(Self::$name => $label,)* }
            }

            /// Key of the time spent, in the log.
            fn time_key(self) -> &'static str {
                match self { $(Self::$name => $time_key,)* }
            }
        }
    };
}

works! {
    Request "requests" "requests_us" "Requests of local callers, and their disconnections.";
    PeerRequest "peer_requests" "peer_requests_us" "Requests that followers forward.";
    Peer "peers" "peers_us" "Other events on links to peers.";
    Advice "advice" "advice_us" "Results of advice calls.";
    Order "orders" "orders_us" "Replies to starts and stops.";
    Renewal "renewals" "renewals_us" "Replies to renewals, with the workers' lists.";
    Store "store" "store_us" "Results of reads and commits.";
    Watch "watches" "watches_us" "Results of watches.";
    Tick "ticks" "ticks_us" "Ticks, and inputs of no other kind.";
    LeaseScan "lease_scan" "lease_scan_us" "Sending due renewals.";
    Placement "placement" "placement_us" "Placement passes.";
    AdviceDispatch "advice_dispatch" "advice_dispatch_us" "Distribution and expiry of advice calls.";
    Followers "followers" "followers_us" "Checks of followers, and heartbeats.";
    Journal "journal" "journal_us" "Building and sending batches.";
    Pending "pending" "pending_us" "Local callers' requests: handling by the own leader, and expiry.";
    Rest "rest" "rest_us" "Other work that is due after an input.";
    Actions "actions" "actions_us" "Starting actions.";
}

common::key! {
    /// Result or request that came too late to be used.
    pub(crate) enum Late {
        /// A request that was handled after its caller's timeout.
        Request,
        /// An answer to a request that is no longer pending.
        Answer,
        /// An advice answer after the call was given up.
        Advice,
        /// An advice answer for a step whose earlier tickets all expired without a start.
        Tickets,
        /// A reply to an order that is no longer pending.
        Order,
        /// A reply to a renewal that is no longer pending.
        Renewal,
    }
}

impl Late {
    const ALL: [Self; 6] =
        [Self::Request, Self::Answer, Self::Advice, Self::Tickets, Self::Order, Self::Renewal];

    /// Label of the metric.
    fn label(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Answer => "answer",
            Self::Advice => "advice",
            Self::Tickets => "tickets",
            Self::Order => "order",
            Self::Renewal => "renewal",
        }
    }

    /// Key of the number in the log.
    fn key(self) -> &'static str {
        match self {
            Self::Request => "late_requests",
            Self::Answer => "late_answers",
            Self::Advice => "late_advice",
            Self::Tickets => "unused_tickets",
            Self::Order => "late_orders",
            Self::Renewal => "late_renewals",
        }
    }
}

impl Work {
    /// The kind of work that handles an input.
    pub fn of(input: &Input) -> Self {
        match input {
            Input::Call { .. } | Input::CallerDisconnected { .. } => Self::Request,
            Input::Peer { event: crate::PeerEvent::Frame(frame), .. }
                if matches!(frame.body, Some(crate::Body::Request(_))) =>
            {
                Self::PeerRequest
            }
            Input::Peer { .. } => Self::Peer,
            Input::Advice { .. } => Self::Advice,
            Input::Order { .. } => Self::Order,
            Input::Renew { .. } => Self::Renewal,
            Input::Read { .. } | Input::Commit { .. } => Self::Store,
            Input::Watch { .. } => Self::Watch,
            Input::Tick | Input::Reload(_) | Input::Stop | Input::Resumed { .. } => Self::Tick,
        }
    }
}

/// Load of the event loop since the last report.
#[derive(Debug)]
pub(crate) struct Load {
    meter: Rc<dyn Meter>,
    /// Reading of the work clock up to which time is attributed.
    attributed_until: Duration,
    since: Duration,
    times: [Duration; Work::ALL.len()],
    inputs: [u64; Work::ALL.len()],
    late: [u64; Late::ALL.len()],
    /// Time for which the input in progress was queued.
    input_age: Duration,
    max_input_age: Duration,
    /// Largest number of inputs that were queued at a time.
    max_queued: usize,
    passes: u64,
    steps_visited: u64,
    leases_checked: u64,
    renewals_sent: u64,
}

impl Load {
    pub fn new(meter: Rc<dyn Meter>, now: Duration) -> Self {
        Self {
            attributed_until: meter.work_clock(),
            meter,
            since: now,
            times: [Duration::ZERO; Work::ALL.len()],
            inputs: [0; Work::ALL.len()],
            late: [0; Late::ALL.len()],
            input_age: Duration::ZERO,
            max_input_age: Duration::ZERO,
            max_queued: 0,
            passes: 0,
            steps_visited: 0,
            leases_checked: 0,
            renewals_sent: 0,
        }
    }

    /// Begins a batch of inputs; the time since the last work is not attributed.
    pub fn begin_batch(&mut self, queued: usize) {
        self.attributed_until = self.meter.work_clock();
        self.max_queued = self.max_queued.max(queued);
    }

    /// Begins an input that was queued for a time.
    pub fn begin_input(&mut self, work: Work, age: Duration) {
        self.inputs[work as usize] += 1;
        self.input_age = age;
        self.max_input_age = self.max_input_age.max(age);
    }

    /// Attributes the time since the last call to a kind of work, and returns it.
    pub fn attribute(&mut self, work: Work) -> Duration {
        let now = self.meter.work_clock();
        let spent = now.saturating_sub(self.attributed_until);
        self.times[work as usize] += spent;
        self.attributed_until = now;
        spent
    }

    /// Time for which the input in progress was queued.
    pub fn input_age(&self) -> Duration {
        self.input_age
    }

    /// Records a placement pass.
    pub fn record_pass(&mut self, steps_visited: u64) {
        self.passes += 1;
        self.steps_visited += steps_visited;
    }

    /// Records checks of leases, and the renewals that were sent.
    pub fn record_leases(&mut self, checked: u64, renewed: u64) {
        self.leases_checked += checked;
        self.renewals_sent += renewed;
    }

    /// Counts a result or request that came too late.
    pub fn count_late(&mut self, late: Late) {
        self.late[late as usize] += 1;
    }

    /// Whether an input since the last report was handled late.
    pub fn is_late(&self) -> bool {
        self.max_input_age >= LATE_INPUT_AGE
    }

    /// Reports the metrics and starts a new interval; returns the fields of the log event.
    pub fn report(&mut self, now: Duration) -> LoadFields {
        let next = Self {
            attributed_until: self.attributed_until,
            input_age: self.input_age,
            ..Self::new(Rc::clone(&self.meter), now)
        };
        let ended = std::mem::replace(self, next);
        let meter = &self.meter;
        for work in Work::ALL {
            let (time, count) = (ended.times[*work as usize], ended.inputs[*work as usize]);
            if !time.is_zero() {
                meter.add(Counter::LoopBusy, work.label(), time.as_micros() as u64);
            }
            if count > 0 {
                meter.add(Counter::LoopInputs, work.label(), count);
            }
        }
        for late in Late::ALL.into_iter().filter(|late| ended.late[*late as usize] > 0) {
            meter.add(Counter::Late, late.label(), ended.late[late as usize]);
        }
        if ended.passes > 0 {
            meter.add(Counter::Placement, "passes", ended.passes);
            meter.add(Counter::Placement, "steps", ended.steps_visited);
        }
        if ended.leases_checked > 0 {
            meter.add(Counter::Leases, "checked", ended.leases_checked);
            meter.add(Counter::Leases, "renewed", ended.renewals_sent);
        }
        meter.set_gauge(Gauge::InputAge, ended.max_input_age.as_millis() as u64);
        meter.set_gauge(Gauge::InputQueue, ended.max_queued as u64);
        LoadFields { load: ended, until: now }
    }
}

/// Fields of the log event about the load; those that are zero are left out.
#[derive(Debug)]
pub(crate) struct LoadFields {
    load: Load,
    until: Duration,
}

impl KV for LoadFields {
    fn serialize(&self, _record: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        let load = &self.load;
        let busy: Duration = load.times.iter().sum();
        serializer.emit_u64("span_ms", self.until.saturating_sub(load.since).as_millis() as u64)?;
        serializer.emit_u64("busy_us", busy.as_micros() as u64)?;
        serializer.emit_u64("oldest_ms", load.max_input_age.as_millis() as u64)?;
        serializer.emit_usize("queued", load.max_queued)?;
        for work in Work::ALL {
            let (time, count) = (load.times[*work as usize], load.inputs[*work as usize]);
            if count > 0 {
                serializer.emit_u64(work.label(), count)?;
            }
            if time >= Duration::from_micros(1) {
                serializer.emit_u64(work.time_key(), time.as_micros() as u64)?;
            }
        }
        for late in Late::ALL.into_iter().filter(|late| load.late[*late as usize] > 0) {
            serializer.emit_u64(late.key(), load.late[late as usize])?;
        }
        if load.passes > 0 {
            serializer.emit_u64("passes", load.passes)?;
            serializer.emit_u64("steps", load.steps_visited)?;
        }
        if load.leases_checked > 0 {
            serializer.emit_u64("leases_checked", load.leases_checked)?;
            serializer.emit_u64("renewals_sent", load.renewals_sent)?;
        }
        Ok(())
    }
}
