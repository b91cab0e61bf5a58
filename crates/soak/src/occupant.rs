//! Sockets that keep the ports of a host in use.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinHandle;

use crate::start::{Occupant, Occupied, Port};

/// A socket that uses a port until it is dropped.
#[derive(Debug)]
pub(crate) enum Socket {
    /// For datagrams.
    Datagrams { _socket: UdpSocket },
    /// A task that listens and ends each connection at once.
    Listener(JoinHandle<()>),
    /// Both ends of a connection.
    Connection { _ends: [TcpStream; 2] },
}

impl Socket {
    /// Uses `address` as `occupied` says. A port that former connections still use can only be
    /// listened on.
    pub(crate) async fn open(address: SocketAddr, occupied: Occupied) -> io::Result<Socket> {
        if occupied.port == Port::Messages {
            let _socket = UdpSocket::bind(address)?;
            return Ok(Socket::Datagrams { _socket });
        }
        if occupied.by == Occupant::Connection
            && let Ok(socket) = Socket::connect(address).await
        {
            return Ok(socket);
        }
        let listener = TcpListener::bind(address).await?;
        Ok(Socket::Listener(tokio::spawn(async move {
            loop {
                if listener.accept().await.is_err() {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            }
        })))
    }

    /// Opens a connection from `address`. It is reset in the end: closed in an orderly way, the port
    /// would be in use for another minute.
    async fn connect(address: SocketAddr) -> io::Result<Socket> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let socket = TcpSocket::new_v4()?;
        socket.bind(address)?;
        let near = socket.connect(listener.local_addr()?).await?;
        near.set_zero_linger()?;
        let (far, _) = listener.accept().await?;
        Ok(Socket::Connection { _ends: [near, far] })
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        if let Socket::Listener(task) = self {
            task.abort();
        }
    }
}
