//! The object store.

use crate::faults::Faults;
use crate::server::{Answer, ReadRequest, ServerOptions, bytes, finish, serve, status};
use ::bytes::Bytes;
use hyper::{Method, StatusCode};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

#[derive(Default)]
struct Objects {
    objects: Mutex<HashMap<String, Bytes>>,
    faults: Faults,
}

/// Runs the object store.
pub async fn run(mut arguments: pico_args::Arguments) -> anyhow::Result<()> {
    let options = ServerOptions::parse(&mut arguments)?;
    finish(arguments)?;
    serve(options, Arc::new(Objects::default()), handle).await
}

async fn handle(store: Arc<Objects>, request: ReadRequest) -> Answer {
    if request.path == "/faults" {
        return store.faults.order(&request);
    }
    if let Err(refusal) = store.faults.before().await {
        return refusal;
    }
    let answer = act(&store, request);
    store.faults.after(answer)
}

fn act(store: &Objects, request: ReadRequest) -> Answer {
    let mut objects = store.objects.lock().unwrap();
    match request.method {
        Method::PUT => {
            objects.insert(request.path, request.body);
            status(StatusCode::NO_CONTENT)
        }
        Method::GET => match objects.get(&request.path) {
            Some(content) => bytes(StatusCode::OK, content.clone()),
            None => status(StatusCode::NOT_FOUND),
        },
        _ => status(StatusCode::METHOD_NOT_ALLOWED),
    }
}
