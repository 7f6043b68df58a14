//! A server for tests of the client, and HTTP messages as text.
//!
//! Each test program uses a part of this module.

#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread::JoinHandle;
use std::time::Duration;
use whinwall_management_api::client::ManagementAddress;

const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Reads a request or response up to the end of the body, whose length is in the `content-length` header.
pub fn read_message(stream: &mut TcpStream) -> String {
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let mut text = String::new();
    let mut byte = [0];
    while !text.ends_with("\r\n\r\n") {
        stream.read_exact(&mut byte).unwrap();
        text.push(char::from(byte[0]));
    }
    let length = text.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |length| length.parse().unwrap())];
    stream.read_exact(&mut body).unwrap();
    text + &String::from_utf8(body).unwrap()
}

/// Returns a response with this status code and body.
pub fn http_response(code: u16, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {code} Text\r\ncontent-length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// Starts a server that sends this response to one request. Its thread returns the request.
pub fn start_server_for_one_request(response: Vec<u8>) -> (ManagementAddress, JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let request = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let request = read_message(&mut stream);
        stream.write_all(&response).unwrap();
        request
    });
    (ManagementAddress::Address(address), request)
}
