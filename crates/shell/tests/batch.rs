//! The batched socket against plain ones.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::time::Duration;

use shell::packets::batch::Batch;
use shell::packets::batch::BATCH;

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

fn plain() -> UdpSocket {
    let socket = UdpSocket::bind(ANY).expect("binds");
    let timeout = Some(Duration::from_secs(5));
    socket.set_read_timeout(timeout).expect("takes a timeout");
    socket
}

fn v4(address: SocketAddr) -> SocketAddrV4 {
    match address {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(address) => panic!("{address} is not IPv4"),
    }
}

#[tokio::test]
async fn datagrams_are_sent_on_with_an_address_in_front() {
    let mut batch = Batch::bind(ANY).expect("binds");
    let (caller, server) = (plain(), plain());
    let to = v4(server.local_addr().expect("bound"));
    // More rounds than one, so that what one call leaves behind would show in the next.
    for round in 0..5u8 {
        let total = BATCH + 3;
        for number in 0..total {
            let data = [round, number as u8, 7];
            caller.send_to(&data, batch.local()).expect("sent");
        }
        let mut seen = 0;
        while seen < total {
            let count = batch.recv().await.expect("read");
            for index in 0..count {
                let datagram = batch.datagram(index);
                assert_eq!(datagram.from, caller.local_addr().expect("bound"));
                assert_eq!(datagram.data, [round, (seen + index) as u8, 7]);
                batch.forward(index, [1, 2, 3, 4, 5, 6, 7, 8], to);
            }
            assert_eq!(batch.flush(), 0, "loopback takes them all");
            seen += count;
        }
        for number in 0..total {
            let mut buffer = [0; 64];
            let (length, from) = server.recv_from(&mut buffer).expect("sent on");
            assert_eq!(from, batch.local());
            let want = [1, 2, 3, 4, 5, 6, 7, 8, round, number as u8, 7];
            assert_eq!(&buffer[..length], want);
        }
    }
}

#[tokio::test]
async fn answers_are_written_over_the_datagram() {
    let mut batch = Batch::bind(ANY).expect("binds");
    let caller = plain();
    caller.send_to(b"hello there", batch.local()).expect("sent");
    assert_eq!(batch.recv().await.expect("read"), 1);
    batch.buffer(0)[..3].copy_from_slice(b"bye");
    batch.answer(0, 3, v4(caller.local_addr().expect("bound")));
    assert_eq!(batch.flush(), 0);
    let mut buffer = [0; 64];
    let (length, _) = caller.recv_from(&mut buffer).expect("answered");
    assert_eq!(&buffer[..length], b"bye");
}

#[tokio::test]
async fn drain_drops_what_waits() {
    let mut batch = Batch::bind(ANY).expect("binds");
    let caller = plain();
    for _ in 0..100 {
        caller.send_to(b"old", batch.local()).expect("sent");
    }
    assert_eq!(batch.drain().expect("drained"), 100);
    caller.send_to(b"new", batch.local()).expect("sent");
    assert_eq!(batch.recv().await.expect("read"), 1);
    assert_eq!(batch.datagram(0).data, b"new");
}
