//! Counts of jobs by second and outages of a cell, with a chart of both.

use std::collections::BTreeMap;
use std::time::Duration;

use control::Event;
use jiff::Timestamp;
use plotters::prelude::{
    ChartBuilder, IntoDrawingArea, IntoFont, LineSeries, Rectangle, SVGBackend, ShapeStyle,
};
use plotters::style::{BLACK, BLUE, Color, GREEN, RED, RGBColor, WHITE};
use snafu::Snafu;

use crate::job::duration_between;
use crate::line::Line;

/// Size of the chart, in pixels.
const CHART_SIZE: (u32, u32) = (1000, 420);

const ORANGE: RGBColor = RGBColor(255, 140, 0);

common::data! {
    /// Counts of jobs and requests in one second.
    #[derive(Default, Copy, Eq)]
    pub struct SecondCounts {
        /// Jobs accepted.
        pub accepted: u32,
        /// Jobs that ended within their objective.
        pub in_time: u32,
        /// Jobs that ended after their objective, or failed.
        pub late: u32,
        /// Requests that were refused or got no answer.
        pub unanswered: u32,
    }

    /// Period in which the store or a serving leader was missing.
    pub struct Outage {
        /// Kind: `store away` or `change of leader`.
        pub kind: &'static str,
        /// Start, as time since the first line.
        pub from: Duration,
        /// End, as time since the first line.
        pub to: Duration,
        /// Name of the daemon that logged it.
        pub member: String,
    }

    /// Summary of all lines of a cell.
    pub struct CellReport {
        /// Time of the first line.
        pub begin: Timestamp,
        /// Counts of each second since the first line.
        pub seconds: Vec<SecondCounts>,
        /// Outages, sorted by start.
        pub outages: Vec<Outage>,
        /// Ages of ended jobs in milliseconds, sorted, by queue.
        pub queues: BTreeMap<String, Vec<u64>>,
        /// Number of lines about jobs that the daemons dropped.
        pub dropped_lines: u64,
    }
}

/// Error of the chart library.
#[derive(Debug, Snafu)]
#[snafu(display("cannot draw the chart: {text}"))]
pub struct ChartError {
    text: String,
}

impl CellReport {
    /// Summarizes lines in time order; `None` if there are no lines.
    pub fn from_lines(lines: &[Line]) -> Option<Self> {
        let (first, last) = (lines.first()?, lines.last()?);
        let length = duration_between(first.time, last.time).as_secs() as usize + 1;
        let mut report = Self {
            begin: first.time,
            seconds: vec![SecondCounts::default(); length],
            outages: find_outages(lines, first.time, last.time),
            queues: BTreeMap::new(),
            dropped_lines: 0,
        };
        for line in lines {
            report.count_line(line);
        }
        report.queues.values_mut().for_each(|ages| ages.sort_unstable());
        Some(report)
    }

    /// Adds one line to the counts.
    fn count_line(&mut self, line: &Line) {
        let second = duration_between(self.begin, line.time).as_secs() as usize;
        let Some(second) = self.seconds.get_mut(second) else { return };
        let is = |event: Event| event.number() == line.event;
        if is(Event::JobAccepted) {
            second.accepted += 1;
        } else if is(Event::JobEnded) {
            let is_late = line.u64_field("late_ms").is_some_and(|late| late > 0);
            match line.str_field("phase") {
                "cancelled" => {}
                "completed" if !is_late => second.in_time += 1,
                _ => second.late += 1,
            }
            let age = line.u64_field("age_ms").unwrap_or(0);
            self.queues.entry(line.str_field("queue").to_owned()).or_default().push(age);
        } else if is(Event::RequestRefused) || is(Event::RequestTimedOut) {
            second.unanswered += 1;
        } else if is(Event::LinesDropped) {
            self.dropped_lines += line.u64_field("lines").unwrap_or(0);
        }
    }

    /// Draws the counts of each second and the outages as an SVG image.
    ///
    /// # Errors
    ///
    /// [`ChartError`] if the chart library fails.
    pub fn draw_chart(&self) -> Result<String, ChartError> {
        let mut svg = String::new();
        self.draw_into(&mut svg).map_err(|error| ChartError { text: error.to_string() })?;
        Ok(svg)
    }

    /// Draws the chart and appends it to `svg`.
    fn draw_into(&self, svg: &mut String) -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::with_string(svg, CHART_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let max_count = self.seconds.iter().map(SecondCounts::max_count).max().unwrap_or(0).max(1);
        let end = self.seconds.len() as f64;
        let mut chart = ChartBuilder::on(&area)
            .caption("jobs a second", ("sans-serif", 18).into_font())
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(40)
            .build_cartesian_2d(0.0..end, 0..max_count + 1)?;
        chart.configure_mesh().x_desc("seconds").disable_x_mesh().draw()?;
        for outage in &self.outages {
            let color = if outage.kind == STORE_OUTAGE { ORANGE } else { RED };
            let corners =
                [(outage.from.as_secs_f64(), 0), (outage.to.as_secs_f64(), max_count + 1)];
            let style = ShapeStyle::from(color.mix(0.15)).filled();
            chart.draw_series(std::iter::once(Rectangle::new(corners, style)))?;
        }
        let series: [Series; 4] = [
            ("accepted", BLUE, |second| second.accepted),
            ("ended in time", GREEN, |second| second.in_time),
            ("ended late or failed", RED, |second| second.late),
            ("not answered", BLACK, |second| second.unanswered),
        ];
        for (label, color, value) in series {
            let points = self.seconds.iter().enumerate();
            let points = points.map(|(index, second)| (index as f64 + 0.5, value(second)));
            let drawn = chart.draw_series(LineSeries::new(points, &color))?;
            drawn.label(label).legend(move |(x, y)| {
                Rectangle::new([(x, y - 2), (x + 12, y + 2)], color.filled())
            });
        }
        chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
        area.present()?;
        Ok(())
    }
}

impl SecondCounts {
    /// The highest of its counts.
    fn max_count(&self) -> u32 {
        self.accepted.max(self.in_time).max(self.late).max(self.unanswered)
    }
}

/// A line of the chart: its label, color and value in a second.
type Series = (&'static str, RGBColor, fn(&SecondCounts) -> u32);

/// Kind of an outage during which a leader cannot reach the store.
const STORE_OUTAGE: &str = "store away";

/// Kind of an outage between the last decision of a leader and the service of the next.
const LEADER_CHANGE: &str = "change of leader";

/// Finds store outages and leader changes, sorted by start.
fn find_outages(lines: &[Line], begin: Timestamp, end: Timestamp) -> Vec<Outage> {
    let mut outages = store_outages(lines, begin, end);
    outages.extend(leader_changes(lines, begin));
    outages.sort_by_key(|outage| outage.from);
    outages
}

/// Finds each member's store outages; one still open lasts until `end`.
fn store_outages(lines: &[Line], begin: Timestamp, end: Timestamp) -> Vec<Outage> {
    let mut open: BTreeMap<&str, Duration> = BTreeMap::new();
    let mut outages = Vec::new();
    let outage =
        |member: &str, from, to| Outage { kind: STORE_OUTAGE, from, to, member: member.to_owned() };
    for line in lines {
        let (member, offset) = (line.member.as_str(), duration_between(begin, line.time));
        if line.event == Event::StoreLost.number() {
            open.entry(member).or_insert(offset);
        } else if [Event::StoreRecovered.number(), Event::Started.number()].contains(&line.event) {
            outages.extend(open.remove(member).map(|from| outage(member, from, offset)));
        }
    }
    let still_open =
        open.into_iter().map(|(member, from)| outage(member, from, duration_between(begin, end)));
    outages.extend(still_open);
    outages
}

/// Finds leader changes: from a leader's last line about a job until the next leader serves.
fn leader_changes(lines: &[Line], begin: Timestamp) -> Vec<Outage> {
    let mut last_decision: Option<(u64, Duration)> = None;
    let mut outages = Vec::new();
    for line in lines {
        let Some(epoch) = line.u64_field("epoch") else { continue };
        let offset = duration_between(begin, line.time);
        if line.event == Event::AcceptingRequests.number() {
            let former = last_decision.filter(|(former, _)| *former < epoch);
            outages.extend(former.map(|(_, from)| Outage {
                kind: LEADER_CHANGE,
                from,
                to: offset,
                member: line.member.clone(),
            }));
        }
        let is_decision = !line.str_field("job").is_empty();
        if is_decision && last_decision.is_none_or(|(latest, _)| latest <= epoch) {
            last_decision = Some((epoch, offset));
        }
    }
    outages
}
