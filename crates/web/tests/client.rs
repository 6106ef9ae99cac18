//! Calls to servers that send extra or truncated responses, or that cannot be reached.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc;
use std::time::Duration;

use http_types::{Method, Request, Url};
use kernel::Verdict;
use web::{Client, ConnectionReuse};

/// Starts a server that answers each request with its number, followed by `extra`.
fn serve(extra: &'static [u8], pause: Duration) -> SocketAddr {
    serve_and_notify(extra, pause, mpsc::channel().0)
}

/// Does the same, and notifies `written` after each write of `extra`.
fn serve_and_notify(
    extra: &'static [u8],
    pause: Duration,
    written: mpsc::Sender<()>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut number = 0;
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut chunk = [0; 4096];
            while stream.read(&mut chunk).is_ok_and(|count| count > 0) {
                number += 1;
                let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n#{number}");
                stream.write_all(answer.as_bytes()).unwrap();
                if extra.is_empty() {
                    continue;
                }
                std::thread::sleep(pause);
                if stream.write_all(extra).is_err() {
                    break;
                }
                // Not every test receives the notification.
                let _ = written.send(());
                std::thread::sleep(pause);
                // The client must have dropped this connection by now.
                break;
            }
        }
    });
    addr
}

fn call(client: &Client, addr: SocketAddr) -> Result<String, (Verdict, String)> {
    smol::block_on(async {
        let request = Request::new(Method::Get, Url::parse(&format!("http://{addr}/")).unwrap());
        let sent = client.send(addr, request, ConnectionReuse::Allowed).await;
        let mut reply = sent.map_err(|err| (err.verdict, err.message))?;
        let bytes = reply
            .read_body(100)
            .await
            .map_err(|err| (Verdict::MayHaveRun, err.to_string()))?;
        reply.recycle();
        Ok(String::from_utf8(bytes).unwrap())
    })
}

#[test]
fn extra_response_is_never_taken_for_that_of_the_next_request() {
    const EXTRA_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n#9";
    for pause_ms in [0, 30] {
        let (sender, written) = mpsc::channel();
        let addr = serve_and_notify(EXTRA_RESPONSE, Duration::from_millis(pause_ms), sender);
        let client = Client::new(1_000);
        for number in 1..4 {
            assert_eq!(
                call(&client, addr),
                Ok(format!("#{number}")),
                "pause {pause_ms} ms"
            );
            written.recv_timeout(Duration::from_secs(5)).unwrap();
        }
    }
}

#[test]
fn connection_is_reused_after_a_complete_response() {
    let addr = serve(b"", Duration::ZERO);
    let client = Client::new(1_000);
    // The server handles one connection at a time, so without reuse the second call would hang.
    assert_eq!(call(&client, addr), Ok("#1".to_owned()));
    assert_eq!(call(&client, addr), Ok("#2".to_owned()));
}

#[test]
fn failed_connect_has_verdict_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let failed = call(&Client::new(200), addr).unwrap_err();
    assert_eq!(failed.0, Verdict::NotRun, "{}", failed.1);
}

#[test]
fn disconnect_after_the_request_has_verdict_may_have_run() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 100]);
    });
    let failed = call(&Client::new(1_000), addr).unwrap_err();
    assert_eq!(failed.0, Verdict::MayHaveRun, "{}", failed.1);
}

#[test]
fn truncated_chunked_response_is_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 1000]);
        let half = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n";
        stream.write_all(half).unwrap();
    });
    let failed = call(&Client::new(1_000), addr).unwrap_err();
    assert_eq!(failed.0, Verdict::MayHaveRun, "{}", failed.1);
}
