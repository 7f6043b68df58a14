//! A connection to a listener of a program, by TCP or by a Unix socket.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::time::Duration;

/// The time limit for connecting, for reads and for writes.
const IO_TIMEOUT: Duration = Duration::from_secs(10);

/// The address of a listener.
#[derive(Clone, Debug)]
pub(super) enum Endpoint {
    Tcp(SocketAddr),
    Unix(PathBuf),
}

/// An open connection.
pub(super) enum Stream {
    Tcp(TcpStream),
    Unix(UnixStream),
}

impl Endpoint {
    pub fn connect(&self) -> io::Result<Stream> {
        Ok(match self {
            Endpoint::Tcp(address) => {
                let stream = TcpStream::connect_timeout(address, IO_TIMEOUT)?;
                stream.set_nodelay(true)?;
                stream.set_read_timeout(Some(IO_TIMEOUT))?;
                stream.set_write_timeout(Some(IO_TIMEOUT))?;
                Stream::Tcp(stream)
            }
            Endpoint::Unix(path) => {
                let stream = UnixStream::connect(path)?;
                stream.set_read_timeout(Some(IO_TIMEOUT))?;
                stream.set_write_timeout(Some(IO_TIMEOUT))?;
                Stream::Unix(stream)
            }
        })
    }
}

impl Stream {
    pub fn set_nonblocking(&self) -> io::Result<()> {
        match self {
            Stream::Tcp(stream) => stream.set_nonblocking(true),
            Stream::Unix(stream) => stream.set_nonblocking(true),
        }
    }

    pub fn try_clone(&self) -> io::Result<Stream> {
        Ok(match self {
            Stream::Tcp(stream) => Stream::Tcp(stream.try_clone()?),
            Stream::Unix(stream) => Stream::Unix(stream.try_clone()?),
        })
    }
}

impl Read for Stream {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        match self {
            Stream::Tcp(stream) => stream.read(buffer),
            Stream::Unix(stream) => stream.read(buffer),
        }
    }
}

impl Write for Stream {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self {
            Stream::Tcp(stream) => stream.write(bytes),
            Stream::Unix(stream) => stream.write(bytes),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
