//! Finds the programs of the workspace, and builds them under cargo.

use crate::process::{io_error, ProcessError};
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The name of the controller's package and of its program.
const CONTROLLER_PROGRAM: &str = "whinwall-controller";

/// Returns the path of the controller's program in the folder of the running executable. Under cargo, builds it first.
///
/// # Errors
///
/// As for [`program`].
pub fn controller_program() -> Result<PathBuf, ProcessError> {
    program(CONTROLLER_PROGRAM, CONTROLLER_PROGRAM)
}

/// Returns the path of a program of the workspace in the folder of the running executable. Under cargo, builds it
/// first, so that the program matches the sources.
///
/// # Errors
///
/// When the path of this executable is unknown, cargo fails to build the program, or the program is missing.
pub fn program(package: &str, name: &str) -> Result<PathBuf, ProcessError> {
    built_program(package, name, &program_folder()?)
}

/// Returns the path of a program of the workspace in the release build, whichever build the running executable belongs
/// to. Under cargo, builds it first. For measurements whose limits hold for the program as it is deployed.
///
/// # Errors
///
/// As for [`program`].
pub fn release_program(package: &str, name: &str) -> Result<PathBuf, ProcessError> {
    let of_this_build = program_folder()?;
    let folder = of_this_build.parent().unwrap_or(Path::new(".")).join("release");
    built_program(package, name, &folder)
}

/// The folder of the programs of the build that the running executable belongs to.
fn program_folder() -> Result<PathBuf, ProcessError> {
    let executable = std::env::current_exe().map_err(io_error("path of the running executable"))?;
    let folder = executable.parent().unwrap_or(Path::new("."));
    // Test executables are in the subfolder `deps`.
    let folder = if folder.ends_with("deps") { folder.parent().unwrap_or(folder) } else { folder };
    Ok(folder.to_path_buf())
}

fn built_program(package: &str, name: &str, folder: &Path) -> Result<PathBuf, ProcessError> {
    let program = folder.join(name);
    if let Some(cargo) = std::env::var_os("CARGO") {
        build(cargo, package, name, folder)?;
    }
    program.is_file().then_some(program.clone()).ok_or(ProcessError::NotBuilt(program))
}

fn build(cargo: OsString, package: &str, name: &str, folder: &Path) -> Result<(), ProcessError> {
    let mut command = Command::new(cargo);
    command.args(["build", "--quiet", "--jobs", "3", "--package", package, "--bin", name]);
    if folder.ends_with("release") {
        command.arg("--release");
    }
    command.current_dir(env!("CARGO_MANIFEST_DIR"));
    let status = command.status().map_err(io_error("cargo build"))?;
    status.success().then_some(()).ok_or_else(|| ProcessError::NotBuilt(folder.join(name)))
}
