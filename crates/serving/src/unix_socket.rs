//! A Unix socket that only its owner may connect to. Replaces a stale socket file left behind by a killed process.

use crate::accept::BACKLOG;
use actix_rt::net::{UnixListener, UnixStream};
use rustix::fs::{fchmod, flock, FlockOperation, Mode, RenameFlags, CWD};
use rustix::io::Errno;
use rustix::net::{
    bind, connect, listen, socket_with, AddressFamily, SocketAddrUnix, SocketFlags, SocketType,
};
use std::fs::{File, Metadata};
use std::io;
use std::os::unix::fs::{FileTypeExt, MetadataExt};
use std::os::unix::net::UnixListener as StdUnixListener;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The mode of the socket file: only the owner may connect.
const SOCKET_MODE: u32 = 0o600;
/// The number of attempts to bind, with the removal of a stale socket after each failed attempt.
const MAX_BIND_ATTEMPTS: usize = 8;
/// The number of attempts to lock the directory while another process binds a socket in it.
const MAX_LOCK_ATTEMPTS: usize = 100;
const LOCK_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Identifies a file independently of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileId {
    device: u64,
    inode: u64,
}

impl From<&Metadata> for FileId {
    fn from(metadata: &Metadata) -> Self {
        FileId { device: metadata.dev(), inode: metadata.ino() }
    }
}

/// A listening socket. Its path is removed when it is dropped, unless the path now belongs to another process.
pub struct OwnedUnixListener {
    listener: UnixListener,
    path: PathBuf,
    id: FileId,
}

impl OwnedUnixListener {
    /// Binds the path and listens on it. Replaces a stale socket, that is, one on which no process listens.
    ///
    /// # Errors
    /// Fails if another process listens on the path or holds the lock of its directory, if the path is not a socket,
    /// or if the system rejects an operation.
    pub fn bind(path: PathBuf) -> io::Result<Self> {
        // Without the lock, two programs that start at the same time could take each other's socket for a stale one.
        let _lock = lock_directory(&path)?;
        for _ in 0..MAX_BIND_ATTEMPTS {
            match bind_private(&path) {
                Ok(listener) => {
                    let id = FileId::from(&std::fs::symlink_metadata(&path)?);
                    return Ok(OwnedUnixListener { listener: UnixListener::from_std(listener)?, path, id });
                }
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => remove_stale_socket(&path)?,
                Err(error) => return Err(error),
            }
        }
        Err(address_in_use())
    }

    /// Accepts a connection.
    ///
    /// # Errors
    /// Fails with the errors of accept(2).
    pub async fn accept(&self) -> io::Result<UnixStream> {
        self.listener.accept().await.map(|(stream, _)| stream)
    }

    /// Removes the path, so that no new connections are made. Connections in the backlog can still be accepted.
    pub fn unpublish(&self) {
        let is_own = std::fs::symlink_metadata(&self.path).is_ok_and(|found| FileId::from(&found) == self.id);
        if is_own {
            _ = std::fs::remove_file(&self.path);
        }
    }
}

impl Drop for OwnedUnixListener {
    fn drop(&mut self) {
        self.unpublish();
    }
}

fn address_in_use() -> io::Error {
    io::Error::new(io::ErrorKind::AddrInUse, "another process listens on this socket")
}

/// Locks the directory of a path. The lock is released when the returned file is closed.
fn lock_directory(path: &Path) -> io::Result<File> {
    let directory = path.parent().filter(|parent| !parent.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let directory = File::open(directory)?;
    for _ in 0..MAX_LOCK_ATTEMPTS {
        match flock(&directory, FlockOperation::NonBlockingLockExclusive) {
            Ok(()) => return Ok(directory),
            Err(Errno::WOULDBLOCK | Errno::INTR) => {
                std::thread::sleep(LOCK_RETRY_DELAY);
            }
            Err(error) => return Err(error.into()),
        }
    }
    Err(io::Error::new(io::ErrorKind::AddrInUse, "the directory of the socket is locked by another process"))
}

/// Binds a socket whose file is private from its creation. The file inherits the mode of the unbound socket, so that
/// neither a later chmod(2) nor a change of the umask, which all threads share, is needed.
fn bind_private(path: &Path) -> io::Result<StdUnixListener> {
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let socket = socket_with(AddressFamily::UNIX, SocketType::STREAM, flags, None)?;
    fchmod(&socket, Mode::from_raw_mode(SOCKET_MODE))?;
    bind(&socket, &SocketAddrUnix::new(path)?)?;
    listen(&socket, BACKLOG as i32)?;
    Ok(StdUnixListener::from(socket))
}

/// Removes a socket on which no process listens. If another process binds the path in the meantime, its socket is
/// left in place or restored.
fn remove_stale_socket(path: &Path) -> io::Result<()> {
    let existing = match std::fs::symlink_metadata(path) {
        Ok(existing) => existing,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(()),
        Err(error) => return Err(error),
    };
    if !existing.file_type().is_socket() {
        return Err(io::Error::new(io::ErrorKind::AlreadyExists, "the path exists and is not a socket"));
    }
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let probe = socket_with(AddressFamily::UNIX, SocketType::STREAM, flags, None)?;
    match connect(&probe, &SocketAddrUnix::new(path)?) {
        // A full backlog (EAGAIN) also means that a process listens.
        Ok(()) | Err(Errno::AGAIN | Errno::INPROGRESS) => return Err(address_in_use()),
        Err(Errno::CONNREFUSED) => {}
        Err(Errno::NOENT) => return Ok(()),
        Err(error) => return Err(error.into()),
    }
    let renamed = path.with_extension(format!("stale-{}", std::process::id()));
    std::fs::rename(path, &renamed)?;
    if FileId::from(&std::fs::symlink_metadata(&renamed)?) == FileId::from(&existing) {
        return std::fs::remove_file(&renamed);
    }
    rustix::fs::renameat_with(CWD, &renamed, CWD, path, RenameFlags::NOREPLACE)?;
    Err(address_in_use())
}
