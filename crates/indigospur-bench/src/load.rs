//! An HTTP load generator: a fixed number of calls over persistent connections, with one thread for
//! each connection.

use hdrhistogram::Histogram;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::Barrier;
use std::thread;
use std::time::{Duration, Instant};

/// The endpoint that is called, and the request sent to it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Address to connect to, as `IP:port`.
    pub address: String,
    /// Name of the called service, sent as the `Host` header.
    pub service: String,
    /// Request path, with the query if there is one.
    pub path: String,
    /// Additional header lines, each ending in CRLF.
    pub headers: String,
}

/// The number of calls, their rate and their concurrency.
#[derive(Clone, Copy, Debug)]
pub struct LoadProfile {
    /// Number of connections. Each has at most one call in flight.
    pub connections: usize,
    /// Calls over all connections; rounded down to a multiple of `connections`.
    pub calls: usize,
    /// Offered rate over all connections, in calls a second, evenly spaced; `None` for a closed
    /// loop, in which each connection sends its next call as soon as the previous one is answered.
    pub rate: Option<f64>,
}

/// Makes the calls and returns their latencies in microseconds, and how many were answered with
/// another status than 200. Latency counts from when a call is sent, also if it is sent late
/// because the previous call on its connection was slow.
///
/// # Errors
/// If a connection can't be opened or fails, or a latency can't be recorded.
pub fn run_load(target: &Target, profile: LoadProfile) -> io::Result<(Histogram<u64>, usize)> {
    let barrier = Barrier::new(profile.connections);
    let outcomes: Vec<io::Result<(Histogram<u64>, usize)>> = thread::scope(|scope| {
        let start = |index: usize| {
            let barrier = &barrier;
            scope.spawn(move || run_connection(target, profile, index, barrier))
        };
        let threads: Vec<_> = (0..profile.connections).map(start).collect();
        threads
            .into_iter()
            .map(|thread| thread.join().expect("connection threads do not panic"))
            .collect()
    });
    let mut all = new_histogram();
    let mut failed = 0;
    for outcome in outcomes {
        let (histogram, failures) = outcome?;
        all.add(histogram).map_err(io::Error::other)?;
        failed += failures;
    }
    Ok((all, failed))
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("3 significant digits are supported")
}

fn run_connection(
    target: &Target,
    profile: LoadProfile,
    index: usize,
    barrier: &Barrier,
) -> io::Result<(Histogram<u64>, usize)> {
    let stream = TcpStream::connect(&target.address);
    barrier.wait();
    let mut stream = stream?;
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let request = format!(
        "GET {} HTTP/1.1\r\nhost: {}\r\n{}\r\n",
        target.path, target.service, target.headers
    );
    let started = Instant::now();
    let interval = profile
        .rate
        .map(|rate| Duration::from_secs_f64(profile.connections as f64 / rate));
    let mut histogram = new_histogram();
    let mut failed = 0;
    for number in 0..profile.calls / profile.connections {
        let due = interval.map(|interval| {
            started
                + interval * number as u32
                + interval * index as u32 / profile.connections as u32
        });
        if let Some(due) = due {
            thread::sleep(due.saturating_duration_since(Instant::now()));
        }
        let sent = Instant::now();
        stream.write_all(request.as_bytes())?;
        failed += usize::from(!read_response(&mut reader)?);
        let latency_us = u64::try_from(sent.elapsed().as_micros()).unwrap_or(u64::MAX);
        histogram.record(latency_us).map_err(io::Error::other)?;
    }
    Ok((histogram, failed))
}

/// Reads one response and returns whether its status is 200.
fn read_response(reader: &mut BufReader<TcpStream>) -> io::Result<bool> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let succeeded = line.contains(" 200 ");
    let mut length = 0;
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if line == "\r\n" {
            break;
        }
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().unwrap_or(0);
        }
    }
    io::copy(&mut reader.take(length), &mut io::sink())?;
    Ok(succeeded)
}
