"""How even a load is: measures checked by hand, logs read back, the report."""

from __future__ import annotations

import random

import pytest

from wickstep.spread import measures, report
from wickstep.spread.logs import LogReader
from wickstep.spread.reasons import SendReason, classify_send
from wickstep.spread.record import BIN_S, Record, SentSetUp, ServerTimeline


def random_record(batch_size: int = 1, seconds: int = 20, rate: float = 400.0, seed: int = 1) -> Record:
    """Arrivals at four servers by independent draws; each draw sends `batch_size` set-ups at once."""
    rng = random.Random(seed)
    record = Record(float(seconds))
    at = 0.0
    while (at := at + rng.expovariate(rate / batch_size)) < seconds:
        server = f"s{rng.randrange(4)}"
        record.sent += [SentSetUp(at, 0, server, SendReason.FIRST)] * batch_size
    for number in range(4):
        record.servers[f"s{number}"] = ServerTimeline(
            [100.0] * record.bin_count(), [0.25] * record.bin_count()
        )
    return record


def test_independent_draws_have_the_dispersion_and_peak_of_chance() -> None:
    found = measures.measure(random_record())
    assert found.dispersion == pytest.approx(1.0, abs=0.08)
    assert found.peak_over_mean == pytest.approx(found.peak_by_chance, abs=0.05)


def test_dispersion_shows_herding_of_softswitches_but_not_of_callers() -> None:
    record = random_record(batch_size=8)
    assert measures.dispersion(measures.count_arrivals(record, 0, record.bin_count())) > 1.3
    independent = Record(20.0)
    rng = random.Random(2)
    for item in record.sent:  # the same batches of callers, but each set-up draws its server independently
        independent.sent.append(SentSetUp(item.at, 0, f"s{rng.randrange(4)}", SendReason.FIRST))
    independent.servers = record.servers
    assert measures.dispersion(
        measures.count_arrivals(independent, 0, independent.bin_count())
    ) == pytest.approx(1.0, abs=0.1)


def test_peak_is_the_server_with_most_set_ups_over_capacity() -> None:
    record = Record(
        1.0,
        [SentSetUp(0.5, 0, "a", SendReason.FIRST)] * 20 + [SentSetUp(0.5, 0, "b", SendReason.TURNED)] * 10,
    )
    record.servers = {name: ServerTimeline([50.0] * 10, [0.0] * 10) for name in "ab"}
    found = measures.measure(record)
    assert found.peak_over_mean == pytest.approx(20 / 15)
    assert found.by_reason == {"first": 20, "turned": 10, "retry": 0, "trial": 0}


def test_idle_time_counts_while_a_caller_is_refused_or_waits_longer_than_its_aim() -> None:
    record = Record(1.0, refused=[0.05], overdue=[(0.42, 0.58)])
    record.servers = {
        "large": ServerTimeline([90.0] * 10, [0.5] * 10),
        "small": ServerTimeline([10.0] * 10, [1.0] * 10),
    }
    found = measures.measure(record)
    assert found.trouble == pytest.approx(0.3)  # one bin with a refusal, two with a wait
    assert found.idle_in_trouble == pytest.approx(0.3 * (0.9 * 0.5 + 0.1))
    record.servers["large"].idle[3] = -1
    assert measures.measure(record).idle_in_trouble == -1


@pytest.mark.parametrize(
    ("attempt", "first_choice", "number", "failures", "reason"),
    [
        (0, 3, 3, 0, SendReason.FIRST),
        (0, 3, 4, 1, SendReason.TURNED),
        (1, 3, 3, 0, SendReason.RETRY),
        (0, 3, 3, 2, SendReason.TRIAL),
    ],
)
def test_each_set_up_has_one_reason(
    attempt: int, first_choice: int, number: int, failures: int, reason: SendReason
) -> None:
    assert classify_send(attempt, first_choice, number, failures) is reason


LOG = """\
0.7 2026-12-02 23:59:59,500 wickstep.net.softswitch 00000000000000a1 #0 sent to s-1 (first)
2026-12-02 23:59:59,600 wickstep.net.softswitch 00000000000000a1 answered: stands
2026-12-02 23:59:59,600 wickstep.net.softswitch 00000000000000a1 #0 stands at s-1 after 100000 us
[1.1] 2026-12-03 00:00:00,100 wickstep.net.softswitch 00000000000000a2 #0 sent to s-2 (turned)
2026-12-03 00:00:00,200 wickstep.net.softswitch 00000000000000a2 #0 full at s-2 after 9000 us, (None, {})
2026-12-03 00:00:00,300 wickstep.net.softswitch 00000000000000a2 answered: refused
2026-12-03 00:00:00,400 wickstep.net.softswitch 00000000000000a3 #0 sent to s-1 (some other word)
not a line at all
2026-12-03 00:00:01,0"""


def test_logs_are_read_back_over_midnight_and_unknown_lines_are_skipped() -> None:
    reader = LogReader()
    reader.add_log(7, LOG.split("\n"))
    record = reader.build_record(aim_s=0.05)
    assert [(item.softswitch, item.server, item.reason) for item in record.sent] == [
        (7, "s-1", SendReason.FIRST), (7, "s-2", SendReason.TURNED),
    ]  # fmt: skip
    assert record.sent[1].at == pytest.approx(0.6)
    assert [server for _, server in record.full] == ["s-2"]
    assert [record.full[0][0], *record.refused] == pytest.approx([0.7, 0.8])
    assert [*record.overdue[0]] == pytest.approx([0.05, 0.1])
    assert reader.unknown_lines == 1
    table = report.format_lines(record, [report.Phase("all", 0, record.duration_s)])
    assert table[1].startswith("all")
    assert LogReader().build_record(1.0).sent == []


def test_page_holds_all_phases_and_a_plot() -> None:
    record = random_record(seconds=4)
    phases = [report.Phase("before <burst>", 0, 2), report.Phase("all", 0, 4)]
    page = report.render_page("a & b", record, phases)
    assert "a &amp; b" in page
    assert "before &lt;burst&gt;" in page
    assert "<svg" in page


def test_bin_is_a_tenth_of_a_second() -> None:
    assert Record(3.0).bin_count() == round(3 / BIN_S) == 30
