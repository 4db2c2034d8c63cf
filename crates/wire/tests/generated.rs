//! Checks that the committed code matches the code generated from `peer.proto`.

use std::path::Path;

fn generate() -> String {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let files = protox::compile(["peer.proto"], [&source]).expect("peer.proto compiles");
    let out = std::env::temp_dir().join(format!("bronzerail-wire-{}", std::process::id()));
    std::fs::create_dir_all(&out).expect("temporary directory is created");
    prost_build::Config::new().out_dir(&out).compile_fds(files).expect("code is generated");
    let code = std::fs::read_to_string(out.join("peer.rs")).expect("generated peer.rs is readable");
    std::fs::remove_dir_all(&out).expect("temporary directory is removed");
    code
}

#[test]
fn generate_matches_committed() {
    let committed = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/peer.rs");
    let code = generate();
    if std::env::var_os("BRONZERAIL_REGENERATE").is_some() {
        std::fs::write(&committed, &code).expect("peer.rs is written");
    }
    let committed_code = std::fs::read_to_string(&committed).unwrap_or_default();
    assert!(
        committed_code == code,
        "peer.rs differs from the code generated from peer.proto; set BRONZERAIL_REGENERATE=1"
    );
}
