//! Names the sources that the daemon is built of, for its start line and `--version`.

use sha2::{Digest, Sha256};
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::{env, fs, io};

fn main() -> io::Result<()> {
    let manifest = PathBuf::from(env::var_os("CARGO_MANIFEST_DIR").unwrap_or_default());
    let root = manifest.join("../..");
    let mut packages = vec![root.clone(), root.join("platform")];
    for package in fs::read_dir(root.join("crates"))? {
        packages.push(package?.path());
    }
    let mut files = Vec::new();
    for package in packages {
        for source in ["Cargo.lock", "Cargo.toml", "build.rs", "src"] {
            let path = package.join(source);
            if path.exists() {
                println!("cargo::rerun-if-changed={}", path.display());
                collect(path, &mut files)?;
            }
        }
    }
    println!(
        "cargo::rustc-env=INDIGOSPUR_SOURCES={}",
        digest(&root, files)?
    );
    println!("cargo::rustc-env=INDIGOSPUR_COMMIT={}", commit(&root));
    let profile = env::var("PROFILE").unwrap_or_default();
    println!("cargo::rustc-env=INDIGOSPUR_PROFILE={profile}");
    Ok(())
}

/// Digest of files, as `deploy/sources.sh` computes it.
fn digest(root: &Path, files: Vec<PathBuf>) -> io::Result<String> {
    let mut named = Vec::new();
    for file in files {
        let name = file.strip_prefix(root).unwrap_or(&file);
        named.push((name.to_string_lossy().into_owned(), fs::read(&file)?));
    }
    named.sort();
    let mut list = Sha256::new();
    for (name, content) in named {
        list.update(format!("{}  {name}\n", hex(&Sha256::digest(content))));
    }
    Ok(hex(&list.finalize()[..8]))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Adds `path`, or the files below it.
fn collect(path: PathBuf, files: &mut Vec<PathBuf>) -> io::Result<()> {
    if !path.is_dir() {
        files.push(path);
        return Ok(());
    }
    for entry in fs::read_dir(path)? {
        collect(entry?.path(), files)?;
    }
    Ok(())
}

/// The commit that is checked out, or `unknown` outside a repository.
fn commit(root: &Path) -> String {
    let log = root.join(".git/logs/HEAD");
    if log.exists() {
        println!("cargo::rerun-if-changed={}", log.display());
    }
    let output = Command::new("git")
        .args(["rev-parse", "--short=12", "HEAD"])
        .current_dir(root)
        .output();
    let output = output.ok().filter(|output| output.status.success());
    let commit = output.and_then(|output| String::from_utf8(output.stdout).ok());
    commit.map_or_else(|| "unknown".to_owned(), |commit| commit.trim().to_owned())
}
