//! A compact form of the model that a leader can store.

use std::time::Duration;

use common::Name;
use prost::Message;

use super::histogram::Histogram;
use super::history::{History, Score};
use super::speeds::Speed;
use super::{Forecast, Kind, MAX_KINDS, MAX_QUEUES, MAX_WORKERS, update};

/// Most bytes of a snapshot.
const MAX_BYTES: usize = 16 * 1024;

/// Bytes that kinds and queues may use; workers may use the rest.
const MAX_KIND_BYTES: usize = 9 * 1024;

/// Shares of observations at whose quantiles a distribution is kept.
const SHARES: [f32; 9] = [0.05, 0.15, 0.25, 0.35, 0.5, 0.65, 0.75, 0.85, 0.95];

/// Most weight of a restored distribution, so that new runs soon count more.
const MAX_RESTORED_WEIGHT: f32 = 36.0;

/// Most steps that a restored score relies on.
const MAX_RESTORED_STEPS: u32 = 16;

/// Factor by which fractions are stored as integers.
const SCALE: f32 = 1000.0;

/// A snapshot that cannot be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotError;

/// Values are multiplied by 1000.
#[derive(Clone, PartialEq, prost::Message)]
struct ScoreRecord {
    #[prost(sint32, tag = "1")]
    error: i32,
    #[prost(sint32, tag = "2")]
    gain: i32,
    #[prost(sint32, tag = "3")]
    gain_square: i32,
    #[prost(uint32, tag = "4")]
    steps: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct HistoryRecord {
    #[prost(string, tag = "1")]
    queue: String,
    #[prost(string, tag = "2")]
    workspace: String,
    /// 0 for the history of a whole queue, otherwise the class plus 1.
    #[prost(uint32, tag = "3")]
    cpu_class: u32,
    #[prost(bool, tag = "4")]
    is_gang: bool,
    #[prost(uint32, tag = "5")]
    runs: u32,
    #[prost(uint32, tag = "6")]
    weight: u32,
    /// The first quantile, and the difference of each to the one before.
    #[prost(sint32, repeated, tag = "7")]
    times: Vec<i32>,
    #[prost(sint32, repeated, tag = "8")]
    ratios: Vec<i32>,
    #[prost(message, required, tag = "9")]
    time_score: ScoreRecord,
    #[prost(message, required, tag = "10")]
    ratio_score: ScoreRecord,
}

#[derive(Clone, PartialEq, prost::Message)]
struct SpeedRecord {
    #[prost(string, tag = "1")]
    worker: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(sint32, tag = "3")]
    log: i32,
    /// Standard deviation.
    #[prost(uint32, tag = "4")]
    deviation: u32,
    #[prost(uint32, tag = "5")]
    runs: u32,
    #[prost(uint32, tag = "6")]
    age_secs: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Snapshot {
    #[prost(message, repeated, tag = "1")]
    histories: Vec<HistoryRecord>,
    #[prost(message, repeated, tag = "2")]
    speeds: Vec<SpeedRecord>,
}

impl Forecast {
    /// The kinds and workers with the latest runs, in 16 KB at most.
    pub fn snapshot(&self, now: Duration) -> Vec<u8> {
        let queues = self.queues.iter().map(|(queue, history)| HistoryRecord {
            queue: queue.to_string(),
            ..history_record(history)
        });
        let kinds = self.kinds.iter().map(|(kind, history)| HistoryRecord {
            queue: kind.queue.to_string(),
            workspace: kind.workspace.to_string(),
            cpu_class: kind.cpu_class + 1,
            is_gang: kind.is_gang,
            ..history_record(history)
        });
        let mut room = MAX_KIND_BYTES;
        let histories = take_while_room(queues.chain(kinds), &mut room);
        let mut room = room + MAX_BYTES - MAX_KIND_BYTES;
        let speeds = self.speeds.iter().map(|(worker, speed)| SpeedRecord {
            worker: worker.to_string(),
            incarnation: speed.incarnation,
            log: scaled(speed.log),
            deviation: scaled(speed.variance.sqrt()).unsigned_abs(),
            runs: speed.runs,
            age_secs: now.saturating_sub(speed.updated_at).as_secs() as u32,
        });
        let speeds = take_while_room(speeds, &mut room);
        Snapshot { histories, speeds }.encode_to_vec()
    }

    /// Replaces what is learned by a snapshot; its runs count less than new ones.
    ///
    /// # Errors
    ///
    /// If it cannot be decoded; what is learned is kept then.
    pub fn restore(&mut self, snapshot: &[u8], now: Duration) -> Result<(), SnapshotError> {
        let Ok(snapshot) = Snapshot::decode(snapshot) else { return Err(SnapshotError) };
        *self = Self::default();
        for record in snapshot.histories.iter().rev() {
            let queue = Name::new(&record.queue);
            let corrected = &mut self.corrected;
            let restore = |history: &mut History| restore_history(history, record);
            if let Some(cpu_class) = record.cpu_class.checked_sub(1) {
                let workspace = Name::new(&record.workspace);
                let kind = Kind { queue, workspace, cpu_class, is_gang: record.is_gang };
                update(&mut self.kinds, &kind, MAX_KINDS, corrected, restore);
            } else {
                update(&mut self.queues, &queue, MAX_QUEUES, corrected, restore);
            }
        }
        let speeds = &snapshot.speeds[..snapshot.speeds.len().min(MAX_WORKERS)];
        for record in speeds.iter().rev() {
            let variance = (record.deviation as f32 / SCALE).powi(2);
            let log = unscaled(record.log);
            let mut speed = Speed::restored(log, variance, record.runs, record.incarnation);
            speed.updated_at = now.saturating_sub(Duration::from_secs(record.age_secs.into()));
            self.speeds.insert(Name::new(&record.worker), speed);
        }
        Ok(())
    }
}

/// The first messages that fit in the room as elements of a repeated field.
fn take_while_room<M: Message>(messages: impl Iterator<Item = M>, room: &mut usize) -> Vec<M> {
    let mut taken = Vec::new();
    for message in messages {
        let length = message.encoded_len();
        let size = 1 + prost::length_delimiter_len(length) + length;
        if size > *room {
            break;
        }
        *room -= size;
        taken.push(message);
    }
    taken
}

fn scaled(value: f32) -> i32 {
    (value * SCALE).round() as i32
}

fn unscaled(value: i32) -> f32 {
    value as f32 / SCALE
}

fn score_record(score: &Score) -> ScoreRecord {
    ScoreRecord {
        error: scaled(score.error),
        gain: scaled(score.gain),
        gain_square: scaled(score.gain_square),
        steps: score.steps,
    }
}

fn restored_score(record: &ScoreRecord) -> Score {
    Score {
        error: unscaled(record.error),
        gain: unscaled(record.gain),
        gain_square: unscaled(record.gain_square),
        steps: record.steps.min(MAX_RESTORED_STEPS),
    }
}

fn history_record(history: &History) -> HistoryRecord {
    HistoryRecord {
        runs: history.runs,
        weight: history.times.weight().round() as u32,
        times: quantiles(&history.times),
        ratios: quantiles(&history.ratios),
        time_score: score_record(&history.time_score),
        ratio_score: score_record(&history.ratio_score),
        ..HistoryRecord::default()
    }
}

fn restore_history(history: &mut History, record: &HistoryRecord) {
    history.runs = record.runs;
    let weight = (record.weight as f32).min(MAX_RESTORED_WEIGHT);
    add_quantiles(&mut history.times, &record.times, weight);
    add_quantiles(&mut history.ratios, &record.ratios, weight);
    history.time_score = restored_score(&record.time_score);
    history.ratio_score = restored_score(&record.ratio_score);
}

fn quantiles<const N: usize>(histogram: &Histogram<N>) -> Vec<i32> {
    if histogram.weight() <= 0.0 {
        return Vec::new();
    }
    let mut previous = 0;
    let differences = SHARES.iter().map(|share| {
        let quantile = scaled(histogram.quantile(*share));
        quantile - std::mem::replace(&mut previous, quantile)
    });
    differences.collect()
}

fn add_quantiles<const N: usize>(histogram: &mut Histogram<N>, differences: &[i32], weight: f32) {
    let mut quantile = 0;
    for difference in differences.iter().take(SHARES.len()) {
        quantile = difference.saturating_add(quantile);
        let mut remaining = weight / SHARES.len() as f32;
        while remaining > 0.0 {
            histogram.add(unscaled(quantile), remaining.min(1.0));
            remaining -= 1.0;
        }
    }
}
