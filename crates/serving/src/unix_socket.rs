//! A Unix socket for its owner alone, at a path that a killed process may have left behind.

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

/// Only the owner may connect.
const MODE: u32 = 0o600;
/// How often a socket that was left behind is taken away before giving up.
const MAX_ATTEMPTS: usize = 8;
/// How long another process may take to bind in the same folder.
const LOCK_ATTEMPTS: usize = 100;
const LOCK_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Identifies a file, whatever its name.
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

/// A listening socket. Its path is removed with it, unless another process has taken the path over.
pub struct OwnedUnixListener {
    listener: UnixListener,
    path: PathBuf,
    id: FileId,
}

impl OwnedUnixListener {
    /// Binds and listens. A socket at which nobody listens is replaced.
    ///
    /// # Errors
    /// Another process listens there or binds in the same folder, something else than a socket has the path, or the system
    /// refuses.
    pub fn bind(path: PathBuf) -> io::Result<Self> {
        // Two programs that start at once must not take each other's socket for one that was left behind.
        let _lock = lock_folder(&path)?;
        for _ in 0..MAX_ATTEMPTS {
            match bind_private(&path) {
                Ok(listener) => {
                    let id = FileId::from(&std::fs::symlink_metadata(&path)?);
                    return Ok(OwnedUnixListener { listener: UnixListener::from_std(listener)?, path, id });
                }
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => remove_stale(&path)?,
                Err(error) => return Err(error),
            }
        }
        Err(in_use())
    }

    /// Accepts a connection.
    ///
    /// # Errors
    /// Those of accept(2).
    pub async fn accept(&self) -> io::Result<UnixStream> {
        self.listener.accept().await.map(|(stream, _)| stream)
    }

    /// Removes the path, so that nobody connects from now on; connections that wait can still be accepted.
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

fn in_use() -> io::Error {
    io::Error::new(io::ErrorKind::AddrInUse, "another program serves there")
}

/// The folder's lock; it ends with the file.
fn lock_folder(path: &Path) -> io::Result<File> {
    let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let folder = File::open(folder)?;
    for _ in 0..LOCK_ATTEMPTS {
        match flock(&folder, FlockOperation::NonBlockingLockExclusive) {
            Ok(()) => return Ok(folder),
            Err(Errno::WOULDBLOCK | Errno::INTR) => {
                std::thread::sleep(LOCK_RETRY_DELAY);
            }
            Err(error) => return Err(error.into()),
        }
    }
    Err(io::Error::new(io::ErrorKind::AddrInUse, "another program binds a socket in the same folder"))
}

/// Binds a socket whose file has the right mode from the start. The file inherits the mode of the unbound socket, so
/// neither a later chmod(2) nor the umask of the process, which is every thread's, is needed.
fn bind_private(path: &Path) -> io::Result<StdUnixListener> {
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let socket = socket_with(AddressFamily::UNIX, SocketType::STREAM, flags, None)?;
    fchmod(&socket, Mode::from_raw_mode(MODE))?;
    bind(&socket, &SocketAddrUnix::new(path)?)?;
    listen(&socket, BACKLOG as i32)?;
    Ok(StdUnixListener::from(socket))
}

/// Takes away a socket at which nobody listens. One that is bound there meanwhile is left, or put back.
fn remove_stale(path: &Path) -> io::Result<()> {
    let found = match std::fs::symlink_metadata(path) {
        Ok(found) => found,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(()),
        Err(error) => return Err(error),
    };
    if !found.file_type().is_socket() {
        return Err(io::Error::new(io::ErrorKind::AlreadyExists, "something else than a socket is there"));
    }
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let probe = socket_with(AddressFamily::UNIX, SocketType::STREAM, flags, None)?;
    match connect(&probe, &SocketAddrUnix::new(path)?) {
        // A full backlog is somebody's who listens.
        Ok(()) | Err(Errno::AGAIN | Errno::INPROGRESS) => return Err(in_use()),
        Err(Errno::CONNREFUSED) => {}
        Err(Errno::NOENT) => return Ok(()),
        Err(error) => return Err(error.into()),
    }
    let aside = path.with_extension(format!("stale-{}", std::process::id()));
    std::fs::rename(path, &aside)?;
    if FileId::from(&std::fs::symlink_metadata(&aside)?) == FileId::from(&found) {
        return std::fs::remove_file(&aside);
    }
    rustix::fs::renameat_with(CWD, &aside, CWD, path, RenameFlags::NOREPLACE)?;
    Err(in_use())
}
