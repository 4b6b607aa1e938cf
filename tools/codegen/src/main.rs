//! Generates the code of the peer protocol; with `--check`, only verifies that it is up to date.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Protocol definition, relative to the workspace root.
const PROTO_FILE: &str = "crates/wire/proto/peer.proto";
/// Include path of the definition, relative to the workspace root.
const PROTO_DIRECTORY: &str = "crates/wire/proto";
/// Committed code, relative to the workspace root.
const COMMITTED_FILE: &str = "crates/wire/src/gen/hibiscus.peer.rs";

fn main() -> ExitCode {
    let check = std::env::args().any(|argument| argument == "--check");
    match run(check) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("{COMMITTED_FILE} does not match {PROTO_FILE}; run `cargo run -p codegen`");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("codegen: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Returns whether the committed code is up to date. Without `check`, writes it first.
fn run(check: bool) -> Result<bool, Box<dyn Error>> {
    let workspace = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let directory = std::env::temp_dir().join(format!("hibiscus-codegen-{}", std::process::id()));
    std::fs::create_dir_all(&directory)?;
    let generated = generate(&workspace, &directory);
    let committed = workspace.join(COMMITTED_FILE);
    let up_to_date = generated.and_then(|text| {
        if check {
            return Ok(std::fs::read_to_string(&committed)? == text);
        }
        std::fs::write(&committed, text)?;
        Ok(true)
    });
    std::fs::remove_dir_all(&directory)?;
    up_to_date
}

fn generate(workspace: &Path, directory: &Path) -> Result<String, Box<dyn Error>> {
    let include = workspace.join(PROTO_DIRECTORY);
    let descriptors = protox::compile([workspace.join(PROTO_FILE)], [include])?;
    tonic_prost_build::configure()
        .out_dir(directory)
        .emit_rerun_if_changed(false)
        .compile_fds(descriptors)?;
    Ok(std::fs::read_to_string(directory.join("hibiscus.peer.rs"))?)
}
