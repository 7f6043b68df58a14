//! The sockets on which a scenario writes to one controller process.

use super::services::FakeServices;
use crate::scenario::ControllerConnection;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex};

/// The most recent connection to one endpoint, if it is open.
pub(super) type SharedStream = Arc<Mutex<Option<TcpStream>>>;

/// Writes a chunk of a chunked HTTP response.
pub(super) fn write_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

/// Writes to the stream if it is open, and drops the stream if the write fails.
fn write_or_drop(shared: &SharedStream, write: impl FnOnce(&mut TcpStream) -> std::io::Result<()>) {
    let Ok(mut open) = shared.lock() else { return };
    if open.as_mut().is_some_and(|stream| write(stream).is_err()) {
        *open = None;
    }
}

fn write_line(shared: &SharedStream, line: &str) {
    write_or_drop(shared, |stream| stream.write_all(format!("{line}\r\n").as_bytes()));
}

fn close(shared: &SharedStream) {
    if let Some(stream) = shared.lock().ok().and_then(|mut open| open.take()) {
        _ = stream.shutdown(Shutdown::Both);
    }
}

/// The connections to one controller process.
pub(super) struct SocketConnection {
    pub(super) services: FakeServices,
    /// The collector connections by zone.
    pub(super) collectors: Vec<TcpStream>,
}

impl ControllerConnection for SocketConnection {
    fn send_relay_event(&mut self, line: &str) {
        write_line(&self.services.relay_watch, line);
    }

    fn close_relay_watch(&mut self) {
        close(&self.services.relay_watch);
    }

    fn send_list(&mut self, line: &str) {
        write_or_drop(&self.services.discovery_watch, |stream| write_chunk(stream, &format!("{line}\n")));
    }

    fn close_discovery_watch(&mut self) {
        close(&self.services.discovery_watch);
    }

    fn send_report(&mut self, zone: usize, line: &str) {
        if let Some(collector) = self.collectors.get_mut(zone) {
            _ = collector.write_all(format!("{line}\n").as_bytes());
        }
    }

    fn respond(&mut self, line: Option<&str>) {
        match line {
            Some(line) => write_line(&self.services.relay_requests, line),
            None => close(&self.services.relay_requests),
        }
    }
}
