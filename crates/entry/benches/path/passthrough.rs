//! A minimal pass-through proxy on the same libraries, as the baseline: accept, forward, respond.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

use async_io::Async;
use futures_lite::{AsyncRead, AsyncWrite};
use http_types::{Body, Request, Response, Url};
use smol::Executor;

/// A connection that can be cloned, as `async_h1` requires.
#[derive(Clone)]
struct Conn(Arc<Async<TcpStream>>);

impl AsyncRead for Conn {
    fn poll_read(
        self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
        buf: &mut [u8],
    ) -> std::task::Poll<std::io::Result<usize>> {
        std::pin::Pin::new(&mut &*self.0).poll_read(cx, buf)
    }
}

impl AsyncWrite for Conn {
    fn poll_write(
        self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
        buf: &[u8],
    ) -> std::task::Poll<std::io::Result<usize>> {
        std::pin::Pin::new(&mut &*self.0).poll_write(cx, buf)
    }

    fn poll_flush(
        self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<std::io::Result<()>> {
        std::task::Poll::Ready(Ok(()))
    }

    fn poll_close(
        self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<std::io::Result<()>> {
        std::task::Poll::Ready(Ok(()))
    }
}

/// Starts the proxy on one thread and returns its address.
pub fn start(endpoint: SocketAddr) -> SocketAddr {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let addr = listener.get_ref().local_addr().unwrap();
    std::thread::spawn(move || {
        let executor = Arc::new(Executor::new());
        let spawner = executor.clone();
        smol::block_on(executor.run(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                stream.get_ref().set_nodelay(true).unwrap();
                spawner
                    .spawn(serve(Conn(Arc::new(stream)), endpoint))
                    .detach();
            }
        }));
    });
    addr
}

async fn serve(caller: Conn, endpoint: SocketAddr) {
    let stream = Async::<TcpStream>::connect(endpoint).await.unwrap();
    stream.get_ref().set_nodelay(true).unwrap();
    let upstream = Conn(Arc::new(stream));
    let served = async_h1::accept(caller, |mut request| {
        let upstream = upstream.clone();
        async move {
            let body = request.body_bytes().await?;
            let url = Url::parse(&format!("http://{endpoint}{}", request.url().path()))?;
            let mut forward = Request::new(request.method(), url);
            forward.set_body(body);
            let mut upstream_response = async_h1::connect(upstream, forward).await?;
            let mut response = Response::new(upstream_response.status());
            if let Some(kind) = upstream_response.header("content-type") {
                response.insert_header("content-type", kind);
            }
            let length = upstream_response.len();
            response.set_body(Body::from_reader(upstream_response.take_body(), length));
            Ok(response)
        }
    });
    drop(served.await);
}
