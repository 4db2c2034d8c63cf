//! Metrics as they are exported.

use common::Name;
use control::{Meter, WorkspaceGauge, WorkspaceValues};
use host::telemetry::Telemetry;

/// Values of workspaces, all gauges alike.
fn values(workspaces: &[(&str, u64)]) -> Vec<WorkspaceValues> {
    let value = |(name, value): &(&str, u64)| WorkspaceValues {
        workspace: Name::new(name),
        values: [*value; WorkspaceGauge::ALL.len()],
    };
    workspaces.iter().map(value).collect()
}

// Guards against series of former workspaces, whose number grows for as long as a daemon runs.
#[test]
fn telemetry_exports_latest_workspaces_only() {
    let telemetry = Telemetry::start().expect("the metrics are registered");
    telemetry.set_workspaces(values(&[("red", 3), ("blue", 4)]));
    let text = telemetry.encode_text().expect("the metrics are encoded");
    let count = |text: &str, name: &str| text.lines().filter(|line| line.contains(name)).count();
    assert_eq!(count(&text, "workspace=\"red\""), WorkspaceGauge::ALL.len(), "{text}");
    telemetry.set_workspaces(values(&[("blue", 5)]));
    let text = telemetry.encode_text().expect("the metrics are encoded");
    assert_eq!(count(&text, "workspace=\"red\""), 0, "{text}");
    assert_eq!(count(&text, "workspace=\"blue\""), WorkspaceGauge::ALL.len(), "{text}");
    telemetry.set_workspaces(Vec::new());
    let text = telemetry.encode_text().expect("the metrics are encoded");
    assert_eq!(count(&text, "workspace="), 0, "{text}");
}
