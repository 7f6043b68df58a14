//! Binding a Unix socket: its mode, what a killed process has left, and programs that start at once.
//!
//! Before, the mode came from the umask, which is the whole process's: two servers that started at once could leave a
//! socket with another mode than 600 (8 failures in 400 runs), and a file that anybody created meanwhile got the wrong mode too.
//! Between the test whether somebody listens and the removal of the path another program could bind it, and lost its socket.

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

/// The umask of the process as the system shows it, without setting it.
fn umask() -> String {
    let status = read_to_string("/proc/self/status").unwrap();
    status.lines().find_map(|line| line.strip_prefix("Umask:")).unwrap().trim().to_string()
}

#[test]
fn sockets_of_servers_that_start_at_once_are_all_private() {
    let folder = tempfile::tempdir().unwrap();
    let before = umask();
    let has_ended = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let watching = scope.spawn(|| {
            while !has_ended.load(Ordering::Relaxed) {
                assert_eq!(umask(), before, "the umask is every thread's");
            }
        });
        let binding: Vec<_> = (0..4)
            .map(|thread| {
                let folder = folder.path().join(thread.to_string());
                std::fs::create_dir(&folder).unwrap();
                scope.spawn(move || {
                    in_runtime(|| {
                        for n in 0..100 {
                            let path = folder.join(n.to_string());
                            let listener = bind(path.clone()).unwrap();
                            assert_eq!(mode(&path), 0o600);
                            drop(listener);
                            assert!(!path.exists());
                        }
                    });
                })
            })
            .collect();
        binding.into_iter().for_each(|thread| thread.join().unwrap());
        has_ended.store(true, Ordering::Relaxed);
        watching.join().unwrap();
    });
}

#[test]
fn socket_that_was_left_behind_goes_to_one_of_several() {
    for _ in 0..50 {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("m.sock");
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
                            // Whoever is bound stays so until all have tried.
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
        let left: Vec<_> =
            std::fs::read_dir(folder.path()).unwrap().map(|entry| entry.unwrap().path()).collect();
        assert!(left.is_empty(), "nothing is left behind: {left:?}");
    }
}

#[test]
fn socket_of_a_program_that_listens_is_left_alone() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("m.sock");
    let other = UnixListener::bind(&path).unwrap();
    in_runtime(|| assert_eq!(bind(path.clone()).err().map(|error| error.kind()), Some(ErrorKind::AddrInUse)));
    assert!(UnixStream::connect(&path).is_ok());
    drop(other);
}

/// A file that the operator has put there by mistake is not ours to delete.
#[test]
fn something_else_than_a_socket_is_left_alone() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("m.sock");
    std::fs::write(&path, "notes").unwrap();
    in_runtime(|| {
        let error = bind(path.clone()).err().unwrap();
        assert!(error.to_string().contains("something else than a socket"), "{error}");
    });
    assert_eq!(read_to_string(&path).unwrap(), "notes");
}

/// The path may be another program's by the time a server ends.
#[test]
fn socket_of_a_successor_is_not_removed() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("m.sock");
    in_runtime(|| {
        let first = bind(path.clone()).unwrap();
        std::fs::remove_file(&path).unwrap();
        let second = UnixListener::bind(&path).unwrap();
        drop(first);
        assert!(UnixStream::connect(&path).is_ok());
        drop(second);
    });
}
