//! What a caller's connection gets when the process that serves it ends.

mod common;

use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;

use async_channel::Sender;
use async_executor::LocalExecutor;
use bytes::Bytes;
use common::{read_until, write};
use futures_lite::FutureExt;
use relay::{
    Body, BodyError, BodyStream, DrainState, Handler, LocalFuture, Request, Response, Server,
};

/// Sends a piece, and then ends or sends nothing more.
struct OnePiece {
    sent: bool,
    ends: bool,
}

impl BodyStream for OnePiece {
    fn next(&mut self) -> LocalFuture<'_, Result<Option<Bytes>, BodyError>> {
        let was_sent = std::mem::replace(&mut self.sent, true);
        Box::pin(async move {
            match (was_sent, self.ends) {
                (false, _) => Ok(Some("piece".into())),
                (true, true) => Ok(None),
                (true, false) => std::future::pending().await,
            }
        })
    }
}

/// Responds with a stream that ends, or one that does not.
struct Streams;

impl Handler for Streams {
    fn handle(&self, request: Request) -> LocalFuture<'_, Response> {
        let ends = request.head.path() == "/ends";
        Box::pin(async move {
            let mut response = Response::new(200);
            response.body = Body::Stream(Box::new(OnePiece { sent: false, ends }));
            response
        })
    }
}

/// Starts a server that closes its sockets without further words once the sender is dropped.
fn serve() -> (SocketAddr, Sender<()>) {
    let (ready, addr) = mpsc::channel();
    let (running, ended) = async_channel::bounded(1);
    std::thread::spawn(move || {
        let executor = Rc::new(LocalExecutor::new());
        let any = "127.0.0.1:0".parse().unwrap();
        let server = Server::bind(any, Rc::new(Streams), Rc::new(DrainState::default())).unwrap();
        ready.send(server.local_addr().unwrap()).unwrap();
        let until_ended = async {
            assert!(ended.recv().await.is_err(), "nothing is sent");
        };
        let serving = server.run(executor.clone()).or(until_ended);
        async_io::block_on(executor.run(serving));
    });
    (addr.recv().unwrap(), running)
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
        write(
            &mut stream,
            &format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n"),
        );
        let read = read_until(&mut stream, last);
        assert!(read.ends_with(last), "{path}: {read}");
        drop(running);
        let end = stream.read(&mut [0]).map_err(|err| err.kind());
        assert_eq!(end, expected, "{path}");
    }
}
