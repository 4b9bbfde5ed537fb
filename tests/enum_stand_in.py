"""A stand-in for the portability database: ENUM over TCP (RFC 6116, RFC 7766) on loopback, with faults.

This file owns the server's sockets and the list of queried numbers. It must never sleep to make a test pass:
when silent, it holds its answers until the test sends them.
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


def naptr_record(uri: str, order: int = 10, service: str = "E2U+pstn:tel", pattern: str = "^.*$") -> str:
    return f'{order} 10 "u" "{service}" "!{pattern}!{uri}!" .'


class EnumServer:
    """Answers from `records`, with the fault that `behaviour` names.

    The behaviours: "well" (no fault), "silent" (answers are held back), "refuses" (SERVFAIL), "cut" (TC
    flag), "noise" (garbage after the message id), "another" (the answer to another question), "closes"
    (the connection is shut down) and "short" (a message shorter than the DNS header).
    """

    def __init__(self) -> None:
        self.records: dict[str, list[str]] = {}  # by number, in presentation form; without an entry: NXDOMAIN
        self.behaviour = "well"
        self.queried_numbers: list[str] = []
        self.held_answers: list[tuple[socket.socket, bytes]] = []
        self.connections: list[socket.socket] = []
        self.listen()

    def listen(self, port: int = 0) -> None:
        self.sock = socket.create_server(("127.0.0.1", port))
        self.port = self.sock.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        threading.Thread(target=self._accept, args=(self.sock,), daemon=True).start()

    def stop(self) -> None:
        """As if the process died: closes the listener and all connections."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        for connection in self.connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def restart(self) -> None:
        self.behaviour = "well"
        self.listen(self.port)

    def send_held(self) -> None:
        """Send the held answers, the newest first, so that they arrive out of order."""
        answers, self.held_answers = self.held_answers, []
        for sock, wire in reversed(answers):
            with contextlib.suppress(OSError):
                sock.sendall(struct.pack(">H", len(wire)) + wire)

    def _accept(self, listener: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = listener.accept()
                self.connections.append(sock)
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        data = b""
        with contextlib.suppress(OSError):
            while chunk := sock.recv(4096):
                data += chunk
                while len(data) >= 2 and len(data) >= 2 + (size := struct.unpack_from(">H", data)[0]):
                    self._answer(sock, data[2 : 2 + size])
                    data = data[2 + size :]

    def _answer(self, sock: socket.socket, wire: bytes) -> None:
        question = dns.message.from_wire(wire)
        name = question.question[0].name
        number = "".join(reversed(str(name).split(".e164.")[0].split(".")))
        self.queried_numbers.append(number)
        reply = dns.message.make_response(question)
        if number in self.records:
            if self.records[number]:
                reply.answer.append(dns.rrset.from_text(name, 60, "IN", "NAPTR", *self.records[number]))
        else:
            reply.set_rcode(dns.rcode.NXDOMAIN)
        match self.behaviour:
            case "silent":
                self.held_answers.append((sock, reply.to_wire()))
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
                other_query = dns.message.make_query("1.e164.arpa.", "NAPTR", id=question.id)
                reply = dns.message.make_response(other_query)
            case "closes":
                sock.shutdown(socket.SHUT_RDWR)
                return
            case "short":
                sock.sendall(b"\x00\x03abc")
                return
        answer = reply.to_wire()
        sock.sendall(struct.pack(">H", len(answer)) + answer)
