"""A portability database for stories: ENUM over TCP after RFC 6116 and RFC 7766, on the loopback, with bad
manners.

It owns its sockets and what it has been asked. It must never sleep to make a story pass: a silent one holds
its answers until the story lets them go.
"""

from __future__ import annotations

import contextlib
import socket
import struct
import threading

import dns.flags
import dns.message
import dns.rcode
import dns.rrset


def record(uri: str, order: int = 10, service: str = "E2U+pstn:tel", pattern: str = "^.*$") -> str:
    return f'{order} 10 "u" "{service}" "!{pattern}!{uri}!" .'


class EnumServer:
    """Answers from `records`; `manner` says how."""

    def __init__(self) -> None:
        self.records: dict[str, list[str]] = {}  # by number, in presentation form; none: no such name
        self.manner = "well"
        self.asked: list[str] = []
        self.held: list[tuple[socket.socket, bytes]] = []
        self.peers: list[socket.socket] = []
        self.listen()

    def listen(self, port: int = 0) -> None:
        self.sock = socket.create_server(("127.0.0.1", port))
        self.port = self.sock.getsockname()[1]
        self.dial = f"127.0.0.1:{self.port}"
        threading.Thread(target=self._accept, args=(self.sock,), daemon=True).start()

    def stop(self) -> None:
        """The process dies: its connections are reset and nobody listens."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        for peer in self.peers:
            with contextlib.suppress(OSError):
                peer.shutdown(socket.SHUT_RDWR)

    def restart(self) -> None:
        self.manner = "well"
        self.listen(self.port)

    def let_go(self) -> None:
        """What was held is sent, the newest first: answers come in any order."""
        held, self.held = self.held, []
        for sock, wire in reversed(held):
            with contextlib.suppress(OSError):
                sock.sendall(struct.pack(">H", len(wire)) + wire)

    def _accept(self, listener: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = listener.accept()
                self.peers.append(sock)
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        data = b""
        with contextlib.suppress(OSError):
            while piece := sock.recv(4096):
                data += piece
                while len(data) >= 2 and len(data) >= 2 + (size := struct.unpack_from(">H", data)[0]):
                    self._answer(sock, data[2 : 2 + size])
                    data = data[2 + size :]

    def _answer(self, sock: socket.socket, wire: bytes) -> None:
        question = dns.message.from_wire(wire)
        name = question.question[0].name
        number = "".join(reversed(str(name).split(".e164.")[0].split(".")))
        self.asked.append(number)
        reply = dns.message.make_response(question)
        if number in self.records:
            if self.records[number]:
                reply.answer.append(dns.rrset.from_text(name, 60, "IN", "NAPTR", *self.records[number]))
        else:
            reply.set_rcode(dns.rcode.NXDOMAIN)
        match self.manner:
            case "silent":
                self.held.append((sock, reply.to_wire()))
                return
            case "refuses":
                reply.set_rcode(dns.rcode.SERVFAIL)
            case "cut":
                reply.flags |= dns.flags.TC
            case "noise":
                noise = wire[:2] + b"\xff" * 40
                sock.sendall(struct.pack(">H", len(noise)) + noise)
                return
            case "another":
                other = dns.message.make_query("1.e164.arpa.", "NAPTR", id=question.id)
                reply = dns.message.make_response(other)
            case "closes":
                sock.shutdown(socket.SHUT_RDWR)
                return
            case "short":
                sock.sendall(b"\x00\x03abc")
                return
        answer = reply.to_wire()
        sock.sendall(struct.pack(">H", len(answer)) + answer)
