//! The platform's store, after its published protocol.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::json::member;
use crate::wire::{self, Message, name};

#[derive(Debug, Clone)]
struct Object {
    revision: u64,
    spec: String,
    status: String,
    deleted: bool,
}

#[derive(Debug, Default)]
struct Objects {
    revision: u64,
    by_kind: BTreeMap<String, BTreeMap<String, Object>>,
}

/// A store that serves until the process ends.
#[derive(Debug, Clone)]
pub struct Store {
    pub addr: SocketAddr,
    objects: Arc<(Mutex<Objects>, Condvar)>,
}

fn document(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"finalizers\":[],\"deleting\":false}},\
         \"spec\":{},\"status\":{}}}",
        object.revision, object.spec, object.status
    )
}

impl Objects {
    fn put(&mut self, kind: &str, name: &str, object: Object) -> String {
        self.revision += 1;
        let object = Object {
            revision: self.revision,
            ..object
        };
        let text = document(name, &object);
        let names = self.by_kind.entry(kind.to_owned()).or_default();
        names.insert(name.to_owned(), object);
        text
    }

    fn live(&self, kind: &str, name: &str) -> Option<&Object> {
        let found = self.by_kind.get(kind)?.get(name)?;
        (!found.deleted).then_some(found)
    }
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Store {
            addr: listener.local_addr().unwrap(),
            objects: Arc::default(),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || {
                    // The caller may have gone.
                    let _ = store.serve(&stream);
                });
            }
        });
        store
    }

    fn serve(&self, mut stream: &TcpStream) -> io::Result<()> {
        let mut message = wire::read_head(stream, Vec::new(), 8192)?;
        let body = wire::read_body(stream, &mut message)?;
        let (status, text) = self.answer(&message, &String::from_utf8_lossy(&body));
        write!(
            stream,
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n{}: 0\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n{text}",
            name("era"),
            text.len()
        )
    }

    fn answer(&self, message: &Message, body: &str) -> (u16, String) {
        let (method, target) = message.line();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |wanted: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == wanted).map(|(_, value)| value)
        };
        let number = |wanted: &str| parameter(wanted).and_then(|text| text.parse::<u64>().ok());
        let Some(path) = path.strip_prefix(name("objects")) else {
            return (404, String::new());
        };
        let parts: Vec<&str> = path.split('/').collect();
        match (method, &parts[..]) {
            ("GET", [kind]) => match number(name("watch")) {
                Some(from) => self.watch(kind, from, number(name("wait")).unwrap_or(0)),
                None => self.list(kind, parameter("after").unwrap_or("")),
            },
            ("GET", [kind, object]) => {
                let objects = self.objects.0.lock().unwrap();
                match objects.live(kind, object) {
                    Some(found) => (200, document(object, found)),
                    None => (404, String::new()),
                }
            }
            ("POST", [kind]) => {
                let metadata = member(body, "metadata").unwrap_or("{}");
                let object = member(metadata, "name").unwrap_or("\"\"").trim_matches('"');
                let mut objects = self.objects.0.lock().unwrap();
                if let Some(found) = objects.live(kind, object) {
                    return (409, document(object, found));
                }
                let new = Object {
                    revision: 0,
                    spec: member(body, "spec").unwrap_or("null").to_owned(),
                    status: "null".to_owned(),
                    deleted: false,
                };
                let text = objects.put(kind, object, new);
                self.objects.1.notify_all();
                (200, text)
            }
            ("PUT", [kind, object]) => self.replace(kind, object, body, "spec"),
            ("PUT", [kind, object, "status"]) => self.replace(kind, object, body, "status"),
            ("DELETE", [kind, object]) => {
                let mut objects = self.objects.0.lock().unwrap();
                let Some(found) = objects.live(kind, object).cloned() else {
                    return (404, String::new());
                };
                if number("revision").is_some_and(|expected| expected != found.revision) {
                    return (409, document(object, &found));
                }
                let deleted = Object {
                    deleted: true,
                    ..found
                };
                let text = objects.put(kind, object, deleted);
                self.objects.1.notify_all();
                (200, text)
            }
            _ => (404, String::new()),
        }
    }

    fn replace(&self, kind: &str, object: &str, body: &str, part: &str) -> (u16, String) {
        let mut objects = self.objects.0.lock().unwrap();
        let Some(found) = objects.live(kind, object).cloned() else {
            return (404, String::new());
        };
        let metadata = member(body, "metadata").unwrap_or("{}");
        let expected = member(metadata, "revision").and_then(|text| text.parse::<u64>().ok());
        if expected.is_some_and(|expected| expected != found.revision) {
            return (409, document(object, &found));
        }
        let value = member(body, part).unwrap_or("null").to_owned();
        let changed = match part {
            "spec" => Object {
                spec: value,
                ..found.clone()
            },
            _ => Object {
                status: value,
                ..found.clone()
            },
        };
        if (&changed.spec, &changed.status) == (&found.spec, &found.status) {
            return (200, document(object, &found));
        }
        let text = objects.put(kind, object, changed);
        self.objects.1.notify_all();
        (200, text)
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let objects = self.objects.0.lock().unwrap();
        let names = objects.by_kind.get(kind).into_iter().flatten();
        let items: Vec<String> = names
            .filter(|(name, object)| !object.deleted && name.as_str() > after)
            .map(|(name, object)| document(name, object))
            .collect();
        let text = format!(
            "{{\"items\":[{}],\"more\":false,\"{}\":{}}}",
            items.join(","),
            name("revision"),
            objects.revision
        );
        (200, text)
    }

    fn watch(&self, kind: &str, from: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut objects = self.objects.0.lock().unwrap();
        loop {
            let names = objects.by_kind.get(kind).into_iter().flatten();
            let mut newer: Vec<_> = names.filter(|(_, object)| object.revision > from).collect();
            newer.sort_by_key(|(_, object)| object.revision);
            let events: Vec<String> = newer
                .into_iter()
                .map(|(name, object)| {
                    let text = document(name, object);
                    format!("{{\"object\":{text},\"deleted\":{}}}", object.deleted)
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let text = format!(
                    "{{\"events\":[{}],\"{}\":{}}}",
                    events.join(","),
                    name("revision"),
                    objects.revision
                );
                return (200, text);
            }
            objects = self.objects.1.wait_timeout(objects, left).unwrap().0;
        }
    }

    /// Writes the specification of an object, as the operator or an endpoint does.
    pub fn write(&self, kind: &str, object: &str, spec: &str) {
        let mut objects = self.objects.0.lock().unwrap();
        let status = objects.live(kind, object).map(|found| found.status.clone());
        let new = Object {
            revision: 0,
            spec: spec.trim().to_owned(),
            status: status.unwrap_or("null".to_owned()),
            deleted: false,
        };
        objects.put(kind, object, new);
        self.objects.1.notify_all();
    }

    /// Writes the configuration. Requests to the plain service may take this long.
    pub fn configure(&self, version: u64, timeout_ms: u64) {
        let text = include_str!("config.json").replace("VERSION", &version.to_string());
        let text = text.replace("TIMEOUT", &timeout_ms.to_string());
        self.write("config", "main", &text);
    }

    /// Writes the entry of an endpoint.
    pub fn register(&self, id: &str, service: &str, addr: SocketAddr, born: u64, state: &str) {
        let slots = if service == "model" { "64" } else { "6" };
        let text = include_str!("entry.json")
            .replace("SERVICE", service)
            .replace("ADDRESS", &addr.to_string())
            .replace("ZONE", "hall")
            .replace("SLOTS", slots)
            .replace("STATE", state)
            .replace("BORN", &born.to_string());
        self.write("servers", id, &text);
    }
}
