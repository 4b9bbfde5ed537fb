"""A process with few descriptors: idle clients fill them while discovery is down; service still begins."""

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

FEW = 96  # descriptors of the process
IDLE = 3 * FEW


def test_idle_clients_fill_no_descriptor_that_discovery_and_servers_need(tmp_path: Path) -> None:
    conf = json.loads(json.dumps(CONF))
    conf["classes"][0]["name"] = "voice"
    away = socket.socket()  # where discovery will be: nobody listens there yet
    away.bind(("127.0.0.1", 0))
    bulletin = f"127.0.0.1:{away.getsockname()[1]}"
    config = {
        "name": "n0", "listen": "127.0.0.1:0", "seed": "8c", "settings": conf, "bulletin": bulletin,
        "limits": {"sockets": FEW, "memory_mb": 64},
    }  # fmt: skip
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config))
    process = subprocess.Popen(
        [sys.executable, "-m", "wickstep", "serve", "--config", str(path)],
        stderr=subprocess.PIPE, text=True, cwd=ROOT,
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (FEW, FEW)),
    )  # fmt: skip
    idle: list[socket.socket] = []
    try:
        assert process.stderr is not None
        host, port = next(iter(process.stderr)).split()[-1].rsplit(":", 1)
        for _ in range(IDLE):
            idle.append(socket.create_connection((host, int(port)), timeout=TIMEOUT_S))
        held = Path(f"/proc/{process.pid}/fd")
        wait_for(lambda: len(os.listdir(held)) > FEW // 3)
        before = cpu_s(process.pid)
        at = time.monotonic()
        wait_for(lambda: time.monotonic() - at > 1.0)  # full for a second: nothing turns in a circle
        assert cpu_s(process.pid) - before < 0.5
        assert len(os.listdir(held)) <= FEW - 8  # what dials, the list and a restart need
        away.close()
        server, back = Server(), Bulletin(int(bulletin.rsplit(":", 1)[1]))
        back.number = 0  # nothing was known
        back.tell(list_line(server, "s-1"), whole=True)
        trunk = server.accept()  # followed, and connected to
        caller = Peer(socket.create_connection((host, int(port)), timeout=TIMEOUT_S))
        caller.say(Test(1), SetUp(0xD1, "voice", 5000, "7", b"offer", first_choice=0))
        assert caller.hear(TestResult, 1).passed
        trunk.hear(SetUp, 0xD1)
        trunk.say(Answer(0xD1, b"accept"))
        caller.hear(Answer, 0xD1)
    finally:
        for sock in idle:
            sock.close()
        process.send_signal(signal.SIGKILL)
        process.communicate()


def cpu_s(pid: int) -> float:
    """Processor time of a process so far, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
