//! Binding a Unix socket: the file mode, stale sockets of killed processes, and programs that start at the same time.
//!
//! Guards against two races. If the mode is set through the umask, which all threads share, servers that start at the
//! same time can create a socket with a mode other than 600 (8 failures in 400 runs), and other files created
//! meanwhile get the wrong mode too. If another program binds the path between the check for a listener and the
//! removal of the path, it loses its socket.

use std::fs::{metadata, read_to_string};
use std::io::ErrorKind;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Barrier;
use whinwall_serving::unix_socket::OwnedUnixListener;

fn bind(path: PathBuf) -> std::io::Result<OwnedUnixListener> {
    OwnedUnixListener::bind(path)
}

fn in_runtime<T>(work: impl FnOnce() -> T) -> T {
    actix_rt::System::new().block_on(async { work() })
}

fn mode(path: &Path) -> u32 {
    metadata(path).unwrap().permissions().mode() & 0o777
}

/// Reads the umask of the process from /proc, which does not require setting it.
fn umask() -> String {
    let status = read_to_string("/proc/self/status").unwrap();
    status.lines().find_map(|line| line.strip_prefix("Umask:")).unwrap().trim().to_string()
}

#[test]
fn servers_starting_concurrently_create_private_sockets() {
    let directory = tempfile::tempdir().unwrap();
    let umask_before = umask();
    let all_have_bound = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let umask_watcher = scope.spawn(|| {
            while !all_have_bound.load(Ordering::Relaxed) {
                assert_eq!(umask(), umask_before, "the umask, which all threads share, has changed");
            }
        });
        let servers: Vec<_> = (0..4)
            .map(|server| {
                let directory = directory.path().join(server.to_string());
                std::fs::create_dir(&directory).unwrap();
                scope.spawn(move || {
                    in_runtime(|| {
                        for n in 0..100 {
                            let path = directory.join(n.to_string());
                            let listener = bind(path.clone()).unwrap();
                            assert_eq!(mode(&path), 0o600);
                            drop(listener);
                            assert!(!path.exists());
                        }
                    });
                })
            })
            .collect();
        servers.into_iter().for_each(|server| server.join().unwrap());
        all_have_bound.store(true, Ordering::Relaxed);
        umask_watcher.join().unwrap();
    });
}

#[test]
fn stale_socket_is_replaced_by_exactly_one_of_several_servers() {
    for _ in 0..50 {
        let directory = tempfile::tempdir().unwrap();
        let path = directory.path().join("m.sock");
        drop(UnixListener::bind(&path).unwrap());
        let start = Barrier::new(4);
        let bound: Vec<_> = std::thread::scope(|scope| {
            let threads: Vec<_> = (0..4)
                .map(|_| {
                    scope.spawn(|| {
                        in_runtime(|| {
                            start.wait();
                            let bound = bind(path.clone());
                            let outcome = bound.as_ref().map(|_| ()).map_err(std::io::Error::kind);
                            // Keeps the socket bound until all servers have tried.
                            start.wait();
                            outcome
                        })
                    })
                })
                .collect();
            threads.into_iter().map(|thread| thread.join().unwrap()).collect()
        });
        let refused = bound.iter().filter(|outcome| **outcome == Err(ErrorKind::AddrInUse)).count();
        assert_eq!((bound.iter().filter(|outcome| outcome.is_ok()).count(), refused), (1, 3), "{bound:?}");
        let left_files: Vec<_> =
            std::fs::read_dir(directory.path()).unwrap().map(|entry| entry.unwrap().path()).collect();
        assert!(left_files.is_empty(), "files left behind: {left_files:?}");
    }
}

#[test]
fn socket_of_a_listening_program_is_not_replaced() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("m.sock");
    let listener = UnixListener::bind(&path).unwrap();
    in_runtime(|| assert_eq!(bind(path.clone()).err().map(|error| error.kind()), Some(ErrorKind::AddrInUse)));
    assert!(UnixStream::connect(&path).is_ok());
    drop(listener);
}

/// A regular file that an operator has created at the path by mistake must not be deleted.
#[test]
fn file_other_than_a_socket_is_not_replaced() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("m.sock");
    std::fs::write(&path, "notes").unwrap();
    in_runtime(|| {
        let error = bind(path.clone()).err().unwrap();
        assert!(error.to_string().contains("the path exists and is not a socket"), "{error}");
    });
    assert_eq!(read_to_string(&path).unwrap(), "notes");
}

/// Another program may have bound the path by the time a server ends.
#[test]
fn socket_of_a_later_server_is_not_removed() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("m.sock");
    in_runtime(|| {
        let first = bind(path.clone()).unwrap();
        std::fs::remove_file(&path).unwrap();
        let second = UnixListener::bind(&path).unwrap();
        drop(first);
        assert!(UnixStream::connect(&path).is_ok());
        drop(second);
    });
}
