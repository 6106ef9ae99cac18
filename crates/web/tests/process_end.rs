//! What a caller's connection gets when the process that serves it ends.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use async_io::block_on;
use futures_lite::io::{AsyncRead, BufReader, Cursor};
use futures_lite::{AsyncReadExt, FutureExt};
use http_types::{Body, Response};
use smol::Executor;
use smol::channel::Sender;
use web::{BoxFuture, Handler, IncomingRequest, Limits, Server};

/// A body that never ends.
struct Pending;

impl AsyncRead for Pending {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        _: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        Poll::Pending
    }
}

/// Responds with a stream that ends, or one that does not.
struct Streams;

impl Handler for Streams {
    fn handle(&self, incoming: IncomingRequest) -> BoxFuture<'_, Response> {
        let ends = incoming.path() == "/ends";
        Box::pin(async move {
            let piece = Cursor::new(b"piece".to_vec());
            let mut response = Response::new(200);
            if ends {
                response.set_body(Body::from_reader(BufReader::new(piece), None));
            } else {
                let endless = BufReader::new(piece.chain(Pending));
                response.set_body(Body::from_reader(endless, None));
            }
            response
        })
    }
}

/// Starts a server that closes its sockets without further words once the sender is dropped.
fn serve() -> (SocketAddr, Sender<()>) {
    let executor = Arc::new(Executor::new());
    let any = "127.0.0.1:0".parse().unwrap();
    let server = Server::bind(any, Arc::new(Streams), Limits::default()).unwrap();
    let addr = server.local_addr().unwrap();
    let (running, ended) = smol::channel::bounded(1);
    std::thread::spawn(move || {
        let until_ended = async {
            assert!(ended.recv().await.is_err(), "nothing is sent");
        };
        let serving = async {
            server.run(executor.clone()).await;
        };
        block_on(executor.run(serving.or(until_ended)));
    });
    (addr, running)
}

fn read_until(stream: &mut TcpStream, text: &str) -> String {
    let mut read = String::new();
    let mut byte = [0];
    while !read.ends_with(text) && matches!(stream.read(&mut byte), Ok(1)) {
        read.push(byte[0].into());
    }
    read
}

/// Issue 46: a FIN inside a body can be taken for its end.
#[test]
fn a_process_that_ends_resets_the_streams_that_are_not_complete() {
    let cases = [
        ("/hangs", "piece\r\n", Err(ErrorKind::ConnectionReset)),
        ("/ends", "0\r\n\r\n", Ok(0)),
    ];
    for (path, last, expected) in cases {
        let (addr, running) = serve();
        let mut stream = TcpStream::connect(addr).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(5)))
            .unwrap();
        write!(stream, "GET {path} HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
        let read = read_until(&mut stream, last);
        assert!(read.ends_with(last), "{path}: {read}");
        drop(running);
        let end = stream.read(&mut [0]).map_err(|err| err.kind());
        assert_eq!(end, expected, "{path}");
    }
}
