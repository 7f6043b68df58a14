//! The simulator's wire on standard input and output, and whinwall's decisions behind it. Decodes events into
//! calls and results into actions; decides nothing.
#![forbid(unsafe_code)]

mod wire;

use std::io::{self, BufRead, Write};

fn main() -> io::Result<()> {
    let mut host = wire::Host::default();
    let mut out = io::BufWriter::new(io::stdout().lock());
    for (at, line) in io::stdin().lock().lines().enumerate() {
        let reply = host.batch(&line?).map_err(|wrong| {
            io::Error::new(io::ErrorKind::InvalidData, format!("line {}: {wrong}", at + 1))
        })?;
        writeln!(out, "{reply}")?;
        out.flush()?;
    }
    Ok(())
}
