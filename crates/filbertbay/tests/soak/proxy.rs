//! Loopback proxy that harms the connections through it.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// Bytes that are passed on at once.
const CHUNK: usize = 16 * 1024;

/// Time between two looks at the weather of a connection that sends nothing.
const LOOK: Duration = Duration::from_millis(20);

/// What happens to connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Weather {
    /// Everything passes.
    #[default]
    Calm,
    /// Each chunk waits for the time.
    Delayed(Duration),
    /// Nothing passes back; what was lost on the way stays lost.
    CutBack,
    /// Nothing passes, and connections that were open stay silent for good.
    Silent,
    /// Open connections break, and new ones too.
    Reset,
}

/// Running proxy in front of one address.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    weather: Rc<Cell<Weather>>,
    connections: Rc<RefCell<JoinSet<()>>>,
}

impl Proxy {
    /// Binds a free port in front of `target`.
    pub async fn bind(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = Self {
            address: listener.local_addr().unwrap(),
            weather: Rc::default(),
            connections: Rc::default(),
        };
        let served = proxy.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let weather = Rc::clone(&served.weather);
                let mut connections = served.connections.borrow_mut();
                while connections.try_join_next().is_some() {}
                connections.spawn_local(pass(stream, target, weather));
            }
        });
        proxy
    }

    /// Changes the weather of open and new connections.
    pub fn set(&self, weather: Weather) {
        self.weather.set(weather);
    }
}

async fn pass(caller: TcpStream, target: SocketAddr, weather: Rc<Cell<Weather>>) {
    if weather.get() == Weather::Reset {
        return reset(&caller);
    }
    // A target that is gone shows as an end of the connection.
    let Ok(server) = TcpStream::connect(target).await else {
        return reset(&caller);
    };
    let is_dead = Rc::new(Cell::new(false));
    let (from_caller, to_caller) = caller.into_split();
    let (from_server, to_server) = server.into_split();
    let there = Way {
        is_back: false,
        weather: Rc::clone(&weather),
        is_dead: Rc::clone(&is_dead),
    };
    let back = Way {
        is_back: true,
        weather,
        is_dead,
    };
    tokio::select! {
        () = there.run(from_caller, to_server) => {}
        () = back.run(from_server, to_caller) => {}
    }
}

fn reset(stream: &TcpStream) {
    // Without lingering the end is a reset; a socket that is gone needs none.
    let _ = stream.set_zero_linger();
}

/// One direction of a connection.
struct Way {
    is_back: bool,
    weather: Rc<Cell<Weather>>,
    is_dead: Rc<Cell<bool>>,
}

impl Way {
    async fn run(self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut chunk = vec![0; CHUNK];
        loop {
            let read = tokio::time::timeout(LOOK, from.read(&mut chunk)).await;
            let weather = self.weather.get();
            if weather == Weather::Silent {
                self.is_dead.set(true);
            }
            if weather == Weather::Reset {
                return reset(to.as_ref());
            }
            let count = match read {
                Err(_) => continue,
                Ok(Ok(0)) | Ok(Err(_)) => return,
                Ok(Ok(count)) => count,
            };
            if let Weather::Delayed(time) = weather {
                tokio::time::sleep(time).await;
            }
            let is_cut = weather == Weather::CutBack && self.is_back;
            if self.is_dead.get() || is_cut {
                self.is_dead.set(true);
                continue;
            }
            if to.write_all(&chunk[..count]).await.is_err() {
                return;
            }
        }
    }
}
