//! Use of the pool, and rounds of advice calls in vain, as metrics and fields of the log.

use scheduler::{Usage, Waste};
use slog::{KV, Record, Serializer};

use crate::meter::{Counter, Gauge, Meter};

/// Fields of the log event about the leader's pool; none for other daemons.
#[derive(Debug)]
pub(crate) struct UsageFields(Option<(Usage, Waste, u64)>);

impl UsageFields {
    /// Reports the metrics of a leader, which preempted some runs since the last report.
    pub fn report(meter: &dyn Meter, usage: Usage, waste: Waste, preempted: u64) -> Self {
        meter.set_gauge(Gauge::PoolCpu, usage.capacity);
        meter.set_gauge(Gauge::PoolUsedCpu, usage.used);
        meter.set_gauge(Gauge::PoolReservedCpu, usage.reserved);
        meter.set_gauge(Gauge::PoolLentCpu, usage.lent);
        meter.set_gauge(Gauge::PoolWithheldCpu, usage.withheld);
        meter.set_gauge(Gauge::PoolFreeCpu, usage.free);
        meter.set_gauge(Gauge::IdleSteps, usage.idle_steps as u64);
        meter.set_gauge(Gauge::IdleGangs, usage.idle_gangs as u64);
        meter.set_gauge(Gauge::CollectingGangs, usage.collecting_gangs as u64);
        meter.set_gauge(Gauge::UncalledGangs, usage.uncalled_gangs as u64);
        if waste.rounds > 0 {
            meter.add(Counter::Waste, "rounds", waste.rounds);
            meter.add(Counter::Waste, "tickets", waste.tickets);
        }
        if waste.gang_rounds > 0 {
            meter.add(Counter::Waste, "gang_rounds", waste.gang_rounds);
            meter.add(Counter::Waste, "gang_tickets", waste.gang_tickets);
        }
        if preempted > 0 {
            meter.add(Counter::Preempted, "runs", preempted);
        }
        Self(Some((usage, waste, preempted)))
    }

    /// No fields.
    pub fn none() -> Self {
        Self(None)
    }
}

impl KV for UsageFields {
    fn serialize(&self, _record: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        let Some((usage, waste, preempted)) = &self.0 else { return Ok(()) };
        let percent = |share: u64| share * 100 / usage.capacity.max(1);
        serializer.emit_u64("pool_mcpu", usage.capacity)?;
        for (key, percent_key, share) in [
            ("used_mcpu", "used_percent", usage.used),
            ("reserved_mcpu", "reserved_percent", usage.reserved),
            ("lent_mcpu", "lent_percent", usage.lent),
            ("withheld_mcpu", "withheld_percent", usage.withheld),
            ("free_mcpu", "free_percent", usage.free),
        ] {
            serializer.emit_u64(key, share)?;
            serializer.emit_u64(percent_key, percent(share))?;
        }
        serializer.emit_usize("idle_steps", usage.idle_steps)?;
        serializer.emit_usize("idle_gangs", usage.idle_gangs)?;
        serializer.emit_usize("collecting_gangs", usage.collecting_gangs)?;
        serializer.emit_usize("uncalled_gangs", usage.uncalled_gangs)?;
        serializer.emit_u64("wasted_rounds", waste.rounds)?;
        serializer.emit_u64("wasted_tickets", waste.tickets)?;
        serializer.emit_u64("wasted_gang_rounds", waste.gang_rounds)?;
        serializer.emit_u64("wasted_gang_tickets", waste.gang_tickets)?;
        serializer.emit_u64("preempted_runs", *preempted)
    }
}
