//! Random requests, intact, corrupted and cut off: the account holds nothing once their connections are gone.

use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future::yield_now;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use proptest::prelude::*;
use proptest::sample::Index;
use relay::{
    Capacity, Handler, Limits, LocalFuture, Origin, Purpose, Request, Response, Server, timeout_at,
};

/// Small enough that some requests are refused for lack of memory.
const MEMORY_BYTES: u64 = 96 << 10;

const MAX_BODY_BYTES: usize = 8 << 10;

/// Time for connections to close once their callers are gone.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

struct Echo;

impl Handler for Echo {
    fn handle(&self, request: Request) -> LocalFuture<'_, Response> {
        Box::pin(async move { Response::new(200).body(request.body) })
    }

    fn limits(&self) -> Limits {
        Limits {
            max_head_bytes: 1 << 10,
            max_body_bytes: MAX_BODY_BYTES as u64,
            ..Limits::default()
        }
    }
}

/// What one caller sends and how.
#[derive(Debug, Clone)]
struct Caller {
    bytes: Vec<u8>,
    /// Where what is sent is split.
    splits: Vec<usize>,
    /// Whether it reads until the connection closes, or closes it at once.
    reads: bool,
}

fn request() -> impl Strategy<Value = Vec<u8>> {
    let padding = 0..1_100usize;
    let chunks = prop::collection::vec(0..MAX_BODY_BYTES / 2, 0..4);
    (padding, chunks, any::<bool>()).prop_map(|(padding, chunks, is_chunked)| {
        let padding = "p".repeat(padding);
        let framing = match is_chunked {
            true => "Transfer-Encoding: chunked".to_owned(),
            false => format!("Content-Length: {}", chunks.iter().sum::<usize>()),
        };
        let head = format!("POST / HTTP/1.1\r\nHost: a\r\nP: {padding}\r\n{framing}\r\n\r\n");
        let mut bytes = head.into_bytes();
        for length in &chunks {
            let body = "x".repeat(*length);
            let part = match is_chunked {
                // A chunk of length 0 ends the body early.
                true => format!("{length:x}\r\n{body}\r\n"),
                false => body,
            };
            bytes.extend_from_slice(part.as_bytes());
        }
        if is_chunked {
            bytes.extend_from_slice(b"0\r\nT: trailer\r\n\r\n");
        }
        bytes
    })
}

fn caller() -> impl Strategy<Value = Caller> {
    let requests = prop::collection::vec(request(), 1..4);
    let corrupted = prop::collection::vec((any::<Index>(), any::<u8>()), 0..3);
    let splits = prop::collection::vec(any::<Index>(), 0..8);
    let cut = prop::option::of(any::<Index>());
    (requests, corrupted, splits, cut, any::<bool>()).prop_map(
        |(requests, corrupted, splits, cut, reads)| {
            let mut bytes = requests.concat();
            for (index, byte) in corrupted {
                let at = index.index(bytes.len());
                bytes[at] = byte;
            }
            bytes.truncate(cut.map_or(bytes.len(), |cut| cut.index(bytes.len())));
            let splits = splits.iter().map(|split| split.index(bytes.len() + 1));
            let mut splits: Vec<usize> = splits.collect();
            splits.extend([0, bytes.len()]);
            splits.sort_unstable();
            Caller {
                bytes,
                splits,
                reads,
            }
        },
    )
}

/// Sends what a caller sends; the server may close the connection at any time.
async fn send(addr: SocketAddr, caller: &Caller) -> std::io::Result<()> {
    let mut stream = Async::<TcpStream>::connect(addr).await?;
    for range in caller.splits.windows(2) {
        stream.write_all(&caller.bytes[range[0]..range[1]]).await?;
        yield_now().await;
    }
    if caller.reads {
        stream.get_ref().shutdown(Shutdown::Write)?;
        stream.read_to_end(&mut Vec::new()).await?;
    }
    Ok(())
}

/// Returns the bytes held for each purpose and the open connections after all callers are gone.
fn left_after(callers: &[Caller]) -> ([u64; 4], u64, usize) {
    let executor = Rc::new(LocalExecutor::new());
    let capacity = Rc::new(Capacity::new(MEMORY_BYTES, 64));
    let any = "127.0.0.1:0".parse().unwrap();
    let server = Server::bind(any, Rc::new(Echo), Rc::default()).unwrap();
    let server = server.capacity(capacity.clone(), Origin::Callers);
    let addr = server.local_addr().unwrap();
    executor.spawn(server.run(executor.clone())).detach();
    async_io::block_on(executor.run(async {
        let deadline = Instant::now() + CLOSE_TIMEOUT;
        let sends = callers.iter().map(|caller| {
            let caller = caller.clone();
            executor.spawn(async move { timeout_at(deadline, send(addr, &caller)).await })
        });
        for sent in sends.collect::<Vec<_>>() {
            // The server may reset the connection.
            drop(sent.await);
        }
        // A connection that is not accepted yet is no longer there for the server to see.
        Timer::after(Duration::from_millis(2)).await;
        while capacity.connections() > 0 && Instant::now() < deadline {
            Timer::after(Duration::from_millis(1)).await;
        }
    }));
    let memory = capacity.memory();
    let by_purpose = Purpose::ALL.map(|purpose| memory.purpose_bytes(purpose));
    (by_purpose, memory.total_bytes(), capacity.connections())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against paths of the reading code that leave bytes charged, which would in time refuse all requests.
    #[test]
    fn the_account_holds_nothing_once_all_connections_are_gone(
        callers in prop::collection::vec(caller(), 1..5),
    ) {
        prop_assert_eq!(left_after(&callers), ([0; 4], 0, 0));
    }
}
