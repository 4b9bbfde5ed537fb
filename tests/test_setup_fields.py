"""What a set-up tells the controller besides its call: tenant, number called and a routing centre's advice.

The server gets neither tenant nor advice. Invalid ones are ignored and counted; they must never cost a call
or its connection.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path

import pytest

from wickstep import interface as api
from wickstep.net import Answer, MalformedMessage, SetUp, codec
from wickstep.net import softswitch as module

from .test_settings import assert_refused, settings_with
from .test_softswitch import Peer, Rig, Server, list_line

INVALID_ADVICE = [
    b"via:two", b"via:1.5", b"via:nan", b"via:inf", b"via:-2", b"via:1e9999", b"via", b"via:" + b"9" * 5000,
    b"via:\xff\x00\xfe", b"via:2147483648", b"via:4:4", b"via: " + b" " * 30 + b"1",
]  # fmt: skip


def encode_with_fields(figures: bytes, tenant: bytes = b"", call: int = 7) -> bytes:
    """The bytes of a set-up with these figures and this tenant, both unchecked."""
    body = codec.encode(SetUp(call, "voice", 5000, "7f3a9c21e0b4d655", b"offer"))[2:]
    for code, value in ((69, figures), (66, tenant)):
        body += codec.PARAMETER.pack(code, len(value)) + value
    return len(body).to_bytes(2, "big") + body


def decode_with_fields(figures: bytes, tenant: bytes = b"") -> SetUp:
    set_up = codec.decode(encode_with_fields(figures, tenant))
    assert isinstance(set_up, SetUp)
    return set_up


@pytest.mark.parametrize(
    ("via", "advised_server"),
    [(b";via:3", 3), (b";via:3.0", 3), (b";via:-1", -1), (b";via:-", -1), (b"", -1)],
)
def test_advice_and_tenant_are_decoded(via: bytes, advised_server: int) -> None:
    set_up = decode_with_fields(b"dest:2;width:1" + via, "Zürich 1".encode())
    assert (set_up.advised_server, set_up.tenant, set_up.ignored_fields) == (advised_server, "Zürich 1", 0)
    assert (set_up.first_choice, set_up.width) == (2, 1)
    assert codec.decode(codec.encode(set_up)) == set_up


@pytest.mark.parametrize("via", INVALID_ADVICE, ids=lambda via: repr(via[:12]))
def test_invalid_advice_is_ignored(via: bytes) -> None:
    set_up = decode_with_fields(b"dest:2;" + via + b";again:1")
    assert (set_up.first_choice, set_up.after_cut, set_up.advised_server, set_up.ignored_fields) == (
        2,
        True,
        -1,
        1,
    )


@pytest.mark.parametrize("tenant", [b"\xff\xfe", b"a" * 256, b"\x00\xc3", b"a" * 9000], ids=range(4))
def test_invalid_tenant_is_ignored(tenant: bytes) -> None:
    set_up = decode_with_fields(b"dest:2;via:1", tenant)
    assert (set_up.tenant, set_up.advised_server, set_up.ignored_fields) == ("", 1, 1)


@pytest.mark.parametrize(
    "figures",
    [b"dest:two;via:1", b"dest:1.5;via:1", b"width:\xff;via:1", b"via:1;dest", b"again:nan;via:x",
     b"via:1;viaduct:x", b"via:x;" * 65],
)  # fmt: skip
def test_other_invalid_figures_make_the_set_up_malformed(figures: bytes) -> None:
    with pytest.raises(MalformedMessage):
        decode_with_fields(figures)


RigWithTenants = tuple[Rig, Peer, Peer, list[api.NewCall]]


@pytest.fixture
def rig_with_tenants(monkeypatch: pytest.MonkeyPatch) -> Iterator[RigWithTenants]:
    """A rig with two tenants, a server's connection, a caller, and the `NewCall` events of the controller."""
    monkeypatch.setattr(module, "MIN_STOP_TIME", 0)
    rig, server = Rig(), Server()
    conf = json.loads(settings_with("settings.parties", [{"name": "acme"}, {"name": "Zürich 1"}]))
    rig.open(list_line(server, "s-1"), replaced=conf["settings"])
    assert rig.switch is not None
    new_calls: list[api.NewCall] = []
    controller = rig.switch.route.controller
    handle = controller.handle

    def handle_and_record(event: api.Event, now: int) -> api.Actions:
        if isinstance(event, api.NewCall):
            new_calls.append(event)
        return handle(event, now)

    monkeypatch.setattr(controller, "handle", handle_and_record)
    yield rig, server.accept(), rig.caller(), new_calls
    rig.stop()
    assert rig.switch.shared.counters["faults"] == 0


def answer_call(rig_with_tenants: RigWithTenants, figures: bytes, tenant: bytes, call: int) -> SetUp:
    """Set up and answer a call with these fields; returns the set-up as the server received it."""
    _, server_peer, caller, _ = rig_with_tenants
    caller.sock.sendall(encode_with_fields(figures, tenant, call))
    set_up = server_peer.receive(SetUp, call)
    assert isinstance(set_up, SetUp)
    server_peer.send(Answer(call, b"accept"))
    caller.receive(Answer, call)
    return set_up


@pytest.mark.parametrize(
    ("figures", "tenant", "expected", "ignored_fields"),
    [
        (b"dest:0;via:1", "Zürich 1".encode(), (1, 1), 0),
        (b"dest:0;via:-1", b"acme", (0, -1), 0),
        (b"dest:0", b"", (-1, -1), 0),
        (b"dest:0;via:0", b"nobody's", (-1, 0), 1),
        (b"dest:0;via:x", b"\xff", (-1, -1), 2),
    ],
)
def test_tenant_and_advice_reach_the_controller_but_not_the_server(
    rig_with_tenants: RigWithTenants,
    figures: bytes,
    tenant: bytes,
    expected: tuple[int, int],
    ignored_fields: int,
) -> None:
    rig, _, _, new_calls = rig_with_tenants
    set_up = answer_call(rig_with_tenants, figures, tenant, 7)
    assert set_up == SetUp(7, "voice", set_up.wait_ms, "7f3a9c21e0b4d655", b"offer")
    assert [(event.tenant, event.advised_server, event.callee) for event in new_calls] == [
        (*expected, "7f3a9c21e0b4d655")
    ]
    assert rig.switch is not None
    assert rig.switch.shared.counters["set_up_fields_passed_over"] == ignored_fields


def test_invalid_tenant_and_advice_harm_no_call_on_the_connection(rig_with_tenants: RigWithTenants) -> None:
    """Treated as malformed, such a field would close the connection and end every call on it."""
    rig = rig_with_tenants[0]
    for call, via in enumerate(INVALID_ADVICE, 10):
        answer_call(rig_with_tenants, via, b"\xff" * 300, call)
    assert rig.switch is not None
    counters = rig.switch.shared.counters
    assert (counters["malformed"], counters["set_up_fields_passed_over"]) == (0, 2 * len(INVALID_ADVICE))


def test_tenant_setting_without_a_name_is_refused(tmp_path: Path) -> None:
    assert_refused(settings_with("settings.parties", [{"quota_per_s": 1.0}]), "parties[0].name", tmp_path)
