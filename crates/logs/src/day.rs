//! A cell over time.

use std::collections::BTreeMap;
use std::time::Duration;

use control::Event;
use jiff::Timestamp;
use plotters::prelude::{
    ChartBuilder, IntoDrawingArea, IntoFont, LineSeries, Rectangle, SVGBackend, ShapeStyle,
};
use plotters::style::{BLACK, BLUE, Color, GREEN, RED, RGBColor, WHITE};
use snafu::Snafu;

use crate::line::Line;
use crate::story::between;

/// Size of the chart, in pixels.
const SIZE: (u32, u32) = (1000, 420);

const ORANGE: RGBColor = RGBColor(255, 140, 0);

common::data! {
    /// What jobs did in a second.
    #[derive(Default, Copy, Eq)]
    pub struct Second {
        /// Jobs accepted.
        pub accepted: u32,
        /// Jobs that ended within their objective.
        pub in_time: u32,
        /// Jobs that ended later, or failed.
        pub late: u32,
        /// Requests that were refused or not answered.
        pub unanswered: u32,
    }

    /// A span of trouble.
    pub struct Span {
        /// What it was.
        pub what: &'static str,
        /// Its begin, since the first line.
        pub from: Duration,
        /// Its end, since the first line.
        pub to: Duration,
        /// The daemon that noticed it.
        pub member: String,
    }

    /// All that was logged, by second.
    pub struct Day {
        /// When the first line was written.
        pub begin: Timestamp,
        /// The seconds.
        pub seconds: Vec<Second>,
        /// Time without the store, or without a leader that serves.
        pub troubles: Vec<Span>,
        /// Jobs that ended, by queue: their number and ages in ms, sorted.
        pub queues: BTreeMap<String, Vec<u64>>,
        /// Lines about jobs that the daemons left out.
        pub left_out: u64,
    }
}

/// The chart cannot be drawn.
#[derive(Debug, Snafu)]
#[snafu(display("chart: {text}"))]
pub struct ChartError {
    text: String,
}

impl Day {
    /// The day of lines in the order of time; none where there are none.
    pub fn of(lines: &[Line]) -> Option<Self> {
        let (first, last) = (lines.first()?, lines.last()?);
        let length = between(first.at, last.at).as_secs() as usize + 1;
        let mut day = Self {
            begin: first.at,
            seconds: vec![Second::default(); length],
            troubles: troubles(lines, first.at, last.at),
            queues: BTreeMap::new(),
            left_out: 0,
        };
        for line in lines {
            day.count(line);
        }
        day.queues.values_mut().for_each(|ages| ages.sort_unstable());
        Some(day)
    }

    fn count(&mut self, line: &Line) {
        let second = between(self.begin, line.at).as_secs() as usize;
        let Some(second) = self.seconds.get_mut(second) else { return };
        let is = |event: Event| event.number() == line.event;
        if is(Event::JobAccepted) {
            second.accepted += 1;
        } else if is(Event::JobEnded) {
            let is_late = line.number_of("late_ms").is_some_and(|late| late > 0);
            match line.text_of("phase") {
                "cancelled" => {}
                "completed" if !is_late => second.in_time += 1,
                _ => second.late += 1,
            }
            let age = line.number_of("age_ms").unwrap_or(0);
            self.queues.entry(line.text_of("queue").to_owned()).or_default().push(age);
        } else if is(Event::RequestRefused) || is(Event::RequestTimedOut) {
            second.unanswered += 1;
        } else if is(Event::LinesDropped) {
            self.left_out += line.number_of("lines").unwrap_or(0);
        }
    }

    /// The day as an SVG picture.
    ///
    /// # Errors
    ///
    /// [`ChartError`] where the library cannot draw it.
    pub fn chart(&self) -> Result<String, ChartError> {
        let mut svg = String::new();
        self.draw(&mut svg).map_err(|error| ChartError { text: error.to_string() })?;
        Ok(svg)
    }

    fn draw(&self, svg: &mut String) -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let most = self.seconds.iter().map(Second::most).max().unwrap_or(0).max(1);
        let end = self.seconds.len() as f64;
        let mut chart = ChartBuilder::on(&area)
            .caption("jobs a second", ("sans-serif", 18).into_font())
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(40)
            .build_cartesian_2d(0.0..end, 0..most + 1)?;
        chart.configure_mesh().x_desc("seconds").disable_x_mesh().draw()?;
        for span in &self.troubles {
            let color = if span.what == STORE { ORANGE } else { RED };
            let corners = [(span.from.as_secs_f64(), 0), (span.to.as_secs_f64(), most + 1)];
            let style = ShapeStyle::from(color.mix(0.15)).filled();
            chart.draw_series(std::iter::once(Rectangle::new(corners, style)))?;
        }
        let series: [Series; 4] = [
            ("accepted", BLUE, |second| second.accepted),
            ("ended in time", GREEN, |second| second.in_time),
            ("ended late or failed", RED, |second| second.late),
            ("not answered", BLACK, |second| second.unanswered),
        ];
        for (name, color, value) in series {
            let points = self.seconds.iter().enumerate();
            let points = points.map(|(at, second)| (at as f64 + 0.5, value(second)));
            let drawn = chart.draw_series(LineSeries::new(points, &color))?;
            drawn.label(name).legend(move |(x, y)| {
                Rectangle::new([(x, y - 2), (x + 12, y + 2)], color.filled())
            });
        }
        chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
        area.present()?;
        Ok(())
    }
}

impl Second {
    fn most(&self) -> u32 {
        self.accepted.max(self.in_time).max(self.late).max(self.unanswered)
    }
}

/// A line of the chart: its name, its color and its value in a second.
type Series = (&'static str, RGBColor, fn(&Second) -> u32);

const STORE: &str = "store away";
const LEADER: &str = "change of leader";

/// Spans in which a leader had no store, and in which no leader decided anything.
fn troubles(lines: &[Line], begin: Timestamp, end: Timestamp) -> Vec<Span> {
    let mut spans = store_spans(lines, begin, end);
    spans.extend(leader_spans(lines, begin));
    spans.sort_by_key(|span| span.from);
    spans
}

fn store_spans(lines: &[Line], begin: Timestamp, end: Timestamp) -> Vec<Span> {
    let mut away: BTreeMap<&str, Duration> = BTreeMap::new();
    let mut spans = Vec::new();
    let span = |member: &str, from, to| Span { what: STORE, from, to, member: member.to_owned() };
    for line in lines {
        let (member, at) = (line.member.as_str(), between(begin, line.at));
        if line.event == Event::StoreLost.number() {
            away.entry(member).or_insert(at);
        } else if [Event::StoreRecovered.number(), Event::Started.number()].contains(&line.event) {
            spans.extend(away.remove(member).map(|from| span(member, from, at)));
        }
    }
    let open = away.into_iter().map(|(member, from)| span(member, from, between(begin, end)));
    spans.extend(open);
    spans
}

/// Spans from the last decision of a leader on a job to the next leader's service.
fn leader_spans(lines: &[Line], begin: Timestamp) -> Vec<Span> {
    let mut last: Option<(u64, Duration)> = None;
    let mut spans = Vec::new();
    for line in lines {
        let Some(epoch) = line.number_of("epoch") else { continue };
        let at = between(begin, line.at);
        if line.event == Event::AcceptingRequests.number() {
            let former = last.filter(|(former, _)| *former < epoch);
            spans.extend(former.map(|(_, from)| Span {
                what: LEADER,
                from,
                to: at,
                member: line.member.clone(),
            }));
        }
        let is_decision = !line.text_of("job").is_empty();
        if is_decision && last.is_none_or(|(latest, _)| latest <= epoch) {
            last = Some((epoch, at));
        }
    }
    spans
}
