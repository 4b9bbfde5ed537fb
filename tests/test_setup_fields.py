"""What a set-up tells the module beside its call: the tenant, the number called and a centre's advice."""

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

NONSENSE = [
    b"via:two", b"via:1.5", b"via:nan", b"via:inf", b"via:-2", b"via:1e9999", b"via", b"via:" + b"9" * 5000,
    b"via:\xff\x00\xfe", b"via:2147483648", b"via:4:4", b"via: " + b" " * 30 + b"1",
]  # fmt: skip


def with_fields(figures: bytes, tenant: bytes = b"", call: int = 7) -> bytes:
    """A set-up's bytes, with these figures and this tenant as they stand."""
    made = codec.encode(SetUp(call, "voice", 5000, "7f3a9c21e0b4d655", b"offer"))[2:]
    for code, value in ((69, figures), (66, tenant)):
        made += codec.PARAMETER.pack(code, len(value)) + value
    return len(made).to_bytes(2, "big") + made


def read(figures: bytes, tenant: bytes = b"") -> SetUp:
    found = codec.decode(with_fields(figures, tenant))
    assert isinstance(found, SetUp)
    return found


@pytest.mark.parametrize(
    ("via", "advice"), [(b";via:3", 3), (b";via:3.0", 3), (b";via:-1", -1), (b";via:-", -1), (b"", -1)]
)
def test_advice_and_tenant_are_read(via: bytes, advice: int) -> None:
    found = read(b"dest:2;width:1" + via, "Zürich 1".encode())
    assert (found.advised_server, found.tenant, found.ignored_fields) == (advice, "Zürich 1", 0)
    assert (found.first_choice, found.width) == (2, 1)
    assert codec.decode(codec.encode(found)) == found


@pytest.mark.parametrize("via", NONSENSE, ids=lambda via: repr(via[:12]))
def test_advice_that_makes_no_sense_is_passed_over(via: bytes) -> None:
    found = read(b"dest:2;" + via + b";again:1")
    assert (found.first_choice, found.after_cut, found.advised_server, found.ignored_fields) == (
        2,
        True,
        -1,
        1,
    )


@pytest.mark.parametrize("tenant", [b"\xff\xfe", b"a" * 256, b"\x00\xc3", b"a" * 9000], ids=range(4))
def test_a_tenant_that_makes_no_sense_is_passed_over(tenant: bytes) -> None:
    found = read(b"dest:2;via:1", tenant)
    assert (found.tenant, found.advised_server, found.ignored_fields) == ("", 1, 1)


@pytest.mark.parametrize(
    "figures",
    [b"dest:two;via:1", b"dest:1.5;via:1", b"width:\xff;via:1", b"via:1;dest", b"again:nan;via:x",
     b"via:1;viaduct:x", b"via:x;" * 65],
)  # fmt: skip
def test_all_other_figures_are_read_as_strictly_as_before(figures: bytes) -> None:
    with pytest.raises(MalformedMessage):
        read(figures)


Place = tuple[Rig, Peer, Peer, list[api.NewCall]]


@pytest.fixture
def place(monkeypatch: pytest.MonkeyPatch) -> Iterator[Place]:
    """A softswitch that knows two tenants, with what its module is told of calls."""
    monkeypatch.setattr(module, "MIN_STOP_TIME", 0)
    rig, server = Rig(), Server()
    conf = json.loads(settings_with("settings.parties", [{"name": "acme"}, {"name": "Zürich 1"}]))
    rig.open(list_line(server, "s-1"), replaced=conf["settings"])
    assert rig.switch is not None
    told: list[api.NewCall] = []
    controller = rig.switch.route.controller
    handle = controller.handle

    def listens(event: api.Event, now: int) -> api.Actions:
        if isinstance(event, api.NewCall):
            told.append(event)
        return handle(event, now)

    monkeypatch.setattr(controller, "handle", listens)
    yield rig, server.accept(), rig.caller(), told
    rig.stop()
    assert rig.switch.shared.counters["faults"] == 0


def served(place: Place, figures: bytes, tenant: bytes, call: int) -> SetUp:
    """Set a call up with these fields, to where it stands; what its server has heard."""
    _, trunk, caller, _ = place
    caller.sock.sendall(with_fields(figures, tenant, call))
    sent = trunk.hear(SetUp, call)
    assert isinstance(sent, SetUp)
    trunk.say(Answer(call, b"accept"))
    caller.hear(Answer, call)
    return sent


@pytest.mark.parametrize(
    ("figures", "tenant", "want", "passed_over"),
    [
        (b"dest:0;via:1", "Zürich 1".encode(), (1, 1), 0),
        (b"dest:0;via:-1", b"acme", (0, -1), 0),
        (b"dest:0", b"", (-1, -1), 0),
        (b"dest:0;via:0", b"nobody's", (-1, 0), 1),
        (b"dest:0;via:x", b"\xff", (-1, -1), 2),
    ],
)
def test_the_module_is_told_and_the_server_is_not(
    place: Place, figures: bytes, tenant: bytes, want: tuple[int, int], passed_over: int
) -> None:
    rig, _, _, told = place
    sent = served(place, figures, tenant, 7)
    assert sent == SetUp(7, "voice", sent.wait_ms, "7f3a9c21e0b4d655", b"offer")
    assert [(event.tenant, event.advised_server, event.callee) for event in told] == [
        (*want, "7f3a9c21e0b4d655")
    ]
    assert rig.switch is not None
    assert rig.switch.shared.counters["set_up_fields_passed_over"] == passed_over


def test_nonsense_costs_no_call_on_its_connection_anything(place: Place) -> None:
    rig = place[0]
    for call, via in enumerate(NONSENSE, 10):
        served(place, via, b"\xff" * 300, call)
    assert rig.switch is not None
    counts = rig.switch.shared.counters
    assert (counts["malformed"], counts["set_up_fields_passed_over"]) == (0, 2 * len(NONSENSE))


def test_a_tenant_without_a_name_is_named(tmp_path: Path) -> None:
    assert_refused(settings_with("settings.parties", [{"quota_per_s": 1.0}]), "parties[0].name", tmp_path)
