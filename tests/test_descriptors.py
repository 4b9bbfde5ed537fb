"""A process with few descriptors, and idle callers that would use them all while the bulletin is down."""

from __future__ import annotations

import json
import os
import resource
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

from wickstep.net import Answer, SetUp, Test, TestResult

from .test_softswitch import TIMEOUT_S, Bulletin, Peer, Server, list_line, wait_for
from .test_wire import CONF, ROOT

MAX_DESCRIPTORS = 96  # limit on descriptors of the process
IDLE_CONNECTIONS = 3 * MAX_DESCRIPTORS


def test_idle_callers_leave_descriptors_for_the_bulletin_and_for_servers(tmp_path: Path) -> None:
    conf = json.loads(json.dumps(CONF))
    conf["classes"][0]["name"] = "voice"
    reserved = socket.socket()  # holds the bulletin's address: nothing listens there yet
    reserved.bind(("127.0.0.1", 0))
    bulletin = f"127.0.0.1:{reserved.getsockname()[1]}"
    config = {
        "name": "n0", "listen": "127.0.0.1:0", "seed": "8c", "settings": conf, "bulletin": bulletin,
        "limits": {"sockets": MAX_DESCRIPTORS, "memory_mb": 64},
    }  # fmt: skip
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config))
    process = subprocess.Popen(
        [sys.executable, "-m", "wickstep", "serve", "--config", str(path)],
        stderr=subprocess.PIPE, text=True, cwd=ROOT,
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, MAX_DESCRIPTORS)),
    )  # fmt: skip
    idle: list[socket.socket] = []
    try:
        assert process.stderr is not None
        host, port = next(iter(process.stderr)).split()[-1].rsplit(":", 1)
        for _ in range(IDLE_CONNECTIONS):
            idle.append(socket.create_connection((host, int(port)), timeout=TIMEOUT_S))
        descriptors = Path(f"/proc/{process.pid}/fd")
        wait_for(lambda: len(os.listdir(descriptors)) > MAX_DESCRIPTORS // 3)
        before = cpu_time_s(process.pid)
        full_since = time.monotonic()
        wait_for(lambda: time.monotonic() - full_since > 1.0)  # for a second no thread may busy-wait
        assert cpu_time_s(process.pid) - before < 0.5
        # Connects to servers, the pool list and a restart need the rest.
        assert len(os.listdir(descriptors)) <= MAX_DESCRIPTORS - 8
        reserved.close()
        server, bulletin_server = Server(), Bulletin(int(bulletin.rsplit(":", 1)[1]))
        bulletin_server.number = 0  # the softswitch starts without a list
        bulletin_server.publish(list_line(server, "s-1"), complete=True)
        server_peer = server.accept()  # the list was read, and its server connected to
        caller = Peer(socket.create_connection((host, int(port)), timeout=TIMEOUT_S))
        caller.send(Test(1), SetUp(0xD1, "voice", 5000, "7", b"offer", first_choice=0))
        assert caller.receive(TestResult, 1).passed
        server_peer.receive(SetUp, 0xD1)
        server_peer.send(Answer(0xD1, b"accept"))
        caller.receive(Answer, 0xD1)
    finally:
        for sock in idle:
            sock.close()
        process.send_signal(signal.SIGKILL)
        process.communicate()


def cpu_time_s(pid: int) -> float:
    """Processor time of a process so far, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
