"""The command line. It owns signals, logging and exit codes; it must never hold what serves a call."""

from __future__ import annotations

import logging
import secrets
import signal
import socket
import sys
import threading
from collections.abc import Callable, Iterator
from datetime import datetime
from pathlib import Path
from typing import TYPE_CHECKING, TypeVar

import click
import ujson

from wickstep import __version__
from wickstep.net import MalformedMessage, Message, Release, SetUp, Test, TestResult, codec, links, softswitch

if TYPE_CHECKING:
    from wickstep.numbering.table import Table
    from wickstep.recovery.store import LearnedStore

T = TypeVar("T")


@click.group()
def main() -> None:
    """Call admission and routing for a softswitch."""


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"wickstep {__version__}")


class BadConfig(click.ClickException):
    exit_code = 2


def read(path: Path) -> softswitch.Config:
    try:
        return softswitch.Config.read(path.read_bytes())
    except (OSError, ValueError, LookupError, TypeError, AttributeError) as trouble:
        raise BadConfig(f"{path}: {str(trouble).splitlines()[0] if str(trouble) else trouble!r}") from trouble


CONFIG = click.option(
    "--config",
    "path",
    envvar="ROUTER_CONFIG",
    required=True,
    type=click.Path(path_type=Path),
    help="Configuration, as JSON; by default the file that ROUTER_CONFIG names.",
)


@main.command("check-config")
@CONFIG
def check_config(path: Path) -> None:
    """Read a configuration and say what it holds."""
    config = read(path)
    click.echo(f"{config.name} listens on {config.listen}, classes: {', '.join(config.classes)}")


TO = click.option("--to", default="127.0.0.1:5080", show_default=True, help="Where the softswitch listens.")


def talk(to: str, message: Message, last: type[Message]) -> Iterator[Message]:
    """Say one message and yield what is heard about it, up to the first of the type `last`."""
    splitter = codec.Splitter()
    try:
        with socket.create_connection(links.parse_address(to), timeout=5) as sock:
            sock.sendall(codec.encode(message))
            sock.settimeout(60)
            while data := sock.recv(4096):
                for heard in splitter.feed(data):
                    if heard.call == message.call:
                        yield heard
                        if isinstance(heard, last):
                            return
    except (OSError, ValueError, MalformedMessage) as trouble:
        raise click.ClickException(f"{to}: {trouble}") from trouble
    raise click.ClickException(f"{to}: the connection was closed")


@main.command()
@TO
def test(to: str) -> None:
    """Ask a running softswitch whether it is ready to take calls."""
    for heard in talk(to, Test(secrets.randbits(64)), TestResult):
        passed = isinstance(heard, TestResult) and heard.passed
        click.echo("ready" if passed else "not ready")
        sys.exit(not passed)


@main.command()
@TO
@click.option("--class", "klass", default="general", show_default=True)
@click.option("--number", default="7f3a9c21e0b4d655", show_default=True, help="The number called.")
@click.option("--wait-ms", default=3000, show_default=True, help="How long to wait for the answer.")
def call(to: str, klass: str, number: str, wait_ms: int) -> None:
    """Set up one call by hand and print what comes back, until it is released."""
    set_up = SetUp(secrets.randbits(64), klass, wait_ms, number, b"v=0 by hand")
    for heard in talk(to, set_up, Release):
        click.echo(heard)


@main.command()
@CONFIG
@click.option("--verbose", is_flag=True, help="Log more than warnings.")
@click.option(
    "--numbers",
    "numbers_path",
    type=click.Path(path_type=Path),
    help="Analyse the numbers called by this table, as KDL; read again on SIGHUP.",
)
@click.option(
    "--recovery",
    "recovery_path",
    type=click.Path(path_type=Path),
    help="Keep what is learned over restarts, as this KDL file says.",
)
def serve(path: Path, verbose: bool, numbers_path: Path | None, recovery_path: Path | None) -> None:
    """Serve calls until SIGTERM; SIGHUP reads the configuration again, SIGUSR1 prints the counters."""
    logging.basicConfig(
        stream=sys.stderr,
        level=logging.INFO if verbose else logging.WARNING,
        format="%(asctime)s %(name)s %(message)s",
    )
    switch: softswitch.Softswitch | None = None
    early: list[str] = []  # what was asked before there was one to ask

    def asks(what: str) -> Callable[..., None]:
        return lambda *_: early.append(what) if switch is None else setattr(switch, what, True)

    # Before the configuration is read and anything listens: the default of each would end the process, with
    # what has come meanwhile, and a change that SIGHUP tells of is read right below or again later.
    signal.signal(signal.SIGTERM, asks("stop_requested"))
    signal.signal(signal.SIGINT, asks("stop_requested"))
    signal.signal(signal.SIGHUP, asks("reload_requested"))
    signal.signal(signal.SIGUSR1, asks("counts_requested"))
    threading.stack_size(links.THREAD_STACK)
    config = read(path)
    store = store_by(recovery_path, config.name)
    switch = softswitch.Softswitch(config, lambda: read(path), analysis_by(numbers_path), store)
    for what in early:
        setattr(switch, what, True)
    host, port = switch.listener.address
    click.echo(f"{switch.shared.config.name} listens on {host}:{port}", err=True)
    switch.run()
    softswitch.exit_process()


def read_form(path: Path, reader: Callable[[str], T]) -> T:
    """An operator's file in KDL, as its own reader makes it; a ClickException says what is wrong with it."""
    from wickstep.forms import KdlError

    try:
        return reader(path.read_text())
    except (OSError, KdlError, UnicodeDecodeError) as trouble:
        raise click.ClickException(f"{path}: {trouble}") from trouble


def store_by(path: Path | None, softswitch_name: str) -> LearnedStore | None:
    """Where what is learned is kept over restarts; None where it is not."""
    if path is None:
        return None
    from wickstep.recovery import plan
    from wickstep.recovery.store import LearnedStore

    return LearnedStore(read_form(path, plan.read), softswitch_name)


def analysis_by(
    path: Path | None,
) -> Callable[[softswitch.SharedState, softswitch.AdmitStage], softswitch.NumberAnalysis] | None:
    """What makes the stage of number analysis; None where it is off, and then nothing of it is loaded."""
    if path is None:
        return None
    from wickstep.numbering import stage

    table = read_table(path)
    return lambda shared, admit: stage.NumberStage(shared, admit, path, table)


def read_table(path: Path) -> Table:
    from wickstep.numbering import stage
    from wickstep.numbering.table import BadTable

    try:
        return stage.load_table(path)
    except BadTable as trouble:
        told = "\n".join(map(str, trouble.troubles))
        raise click.ClickException(f"{path} is no table\n{told}") from trouble


@main.command()
@click.argument("scenario_path", metavar="SCENARIO", type=click.Path(path_type=Path))
@click.option("--json", "json_path", type=click.Path(path_type=Path), help="Write the report there too.")
@click.option("--seed", type=int, help="Another seed than the scenario's.")
@click.option(
    "--program",
    type=click.Path(path_type=Path, exists=True, file_okay=False),
    help="Another checkout of this project, whose softswitches are played.",
)
def rehearse(scenario_path: Path, json_path: Path | None, seed: int | None, program: Path | None) -> None:
    """Play a scenario of faults with real softswitches on loopback; exit code 0 if all rules were kept."""
    import tempfile
    from dataclasses import replace

    from wickstep.rehearsal import processes, report, run, scenario

    script = read_form(scenario_path, scenario.read)
    if seed is not None:
        script = replace(script, seed=seed)
    with tempfile.TemporaryDirectory(prefix="wickstep-rehearsal-") as folder:
        found = run.Rehearsal(script, Path(folder), program=program or processes.ROOT).play()
    click.echo("\n".join(report.table(found)))
    if json_path is not None:
        json_path.write_text(ujson.dumps(found.as_json()))
    sys.exit(not found.kept)


@main.command()
@click.argument("plan_path", metavar="PLAN", type=click.Path(path_type=Path))
@click.option("--seed", type=int, help="Another seed than the plan's.")
@click.option("--json", "json_path", type=click.Path(path_type=Path), help="Write the measures there too.")
@click.option("--html", "html_path", type=click.Path(path_type=Path), help="Write a page with a plot there.")
def model(plan_path: Path, seed: int | None, json_path: Path | None, html_path: Path | None) -> None:
    """Play a fleet of real controllers on a virtual clock; the same plan gives the same figures each time."""
    from dataclasses import replace

    from wickstep.fleet import plan, report
    from wickstep.fleet.model import Model

    script = read_form(plan_path, plan.read)
    outcome = Model(script if seed is None else replace(script, seed=seed)).play()
    click.echo("\n".join(report.lines(outcome)))
    if json_path is not None:
        json_path.write_text(ujson.dumps(report.as_json(outcome)))
    if html_path is not None:
        html_path.write_text(report.page(outcome, f"{script.name}, seed {outcome.plan.seed}"))


@main.command()
@click.argument("logs", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True))
@click.option("--aim-s", default=1.5, show_default=True, help="A call that stands later counts as late.")
@click.option("--html", "html_path", type=click.Path(path_type=Path), help="Write a page with a plot there.")
def spread(logs: tuple[Path, ...], aim_s: float, html_path: Path | None) -> None:
    """Say how evenly softswitches loaded the setup servers, from the logs of `serve --verbose`, one each."""
    from wickstep.spread import report
    from wickstep.spread.logs import LogReader

    reader = LogReader()
    for number, path in enumerate(logs):
        with path.open(errors="replace") as lines:
            reader.add_log(number, lines)
    record = reader.build_record(aim_s)
    if not record.sent:
        raise click.ClickException("no set-up is told of in these logs: was it `serve --verbose`?")
    phases = [report.Phase("all", 0.0, record.duration_s)]
    click.echo("\n".join(report.format_lines(record, phases)))
    if html_path is not None:
        html_path.write_text(report.render_page("spread", record, phases))


EXIT_NO_ANSWER = 3  # exit code where no softswitch answers at the operators' address
OPERATOR = click.option(
    "--at",
    "where",
    envvar="ROUTER_OPERATOR",
    default="127.0.0.1:5081",
    show_default=True,
    help="The operators' address of the softswitch; by default the one that ROUTER_OPERATOR names.",
)


def operate(where: str, asked: str) -> list[str]:
    """Ask at the operators' address; ends with `EXIT_NO_ANSWER` where no answer comes."""
    from wickstep.operation import operator_server

    try:
        lines = operator_server.send_command(where, asked)
    except (OSError, ValueError) as trouble:
        click.echo(f"{where}: {trouble}", err=True)
        sys.exit(EXIT_NO_ANSWER)
    if not lines:
        click.echo(f"{where}: closed without an answer", err=True)
        sys.exit(EXIT_NO_ANSWER)
    return lines


def say_and_leave(where: str, asked: str) -> None:
    """Print the reply; exit code 0 if it says yes, 1 if no."""
    from wickstep.operation import commands

    word, _, text = operate(where, asked)[0].partition(" ")
    click.echo(text or word)
    sys.exit(word != commands.SUCCESS)


@main.command()
@OPERATOR
def status(where: str) -> None:
    """Whether a running softswitch is ready; exit code 0 yes, 1 no, 3 nobody answers."""
    say_and_leave(where, "STATUS")


@main.command()
@OPERATOR
def pause(where: str) -> None:
    """Drain a running softswitch: callers are sent elsewhere, it keeps running."""
    say_and_leave(where, "PAUSE")


@main.command()
@OPERATOR
def resume(where: str) -> None:
    """Let a drained softswitch take callers again."""
    say_and_leave(where, "RESUME")


@main.command()
@OPERATOR
def metrics(where: str) -> None:
    """Print the figures of a running softswitch, see docs/on-call.md."""
    from wickstep.operation import commands

    lines = operate(where, "METRICS")
    if lines[-1] != commands.END_OF_REPLY:
        click.echo(f"{where}: {lines[0]}", err=True)
        sys.exit(1)
    click.echo("\n".join(lines[:-1]))


@main.group()
def numbers() -> None:
    """Look at a table of number analysis."""


@numbers.command("check")
@click.argument("path", type=click.Path(path_type=Path))
def check_numbers(path: Path) -> None:
    """Read a table and say what it holds, or what is wrong with it; exit code 0 or 1."""
    table = read_table(path)
    sizes = ", ".join(f"{count} {name}" for name, count in table.sizes.items())
    click.echo(f"{table.version or 'no version'}: {sizes}")


@numbers.command("explain")
@click.argument("number")
@click.option(
    "--table",
    "path",
    default="deploy/numbering.kdl",
    show_default=True,
    type=click.Path(path_type=Path),
    help="The table, as KDL.",
)
@click.option("--at", "instant", default="", help="When, as 2026-12-01T09:30+08:00; by default now.")
def explain_number(number: str, path: Path, instant: str) -> None:
    """Say how a number is analysed at a time, and why; exit code 0 if it leads anywhere."""
    from wickstep.numbering.analysis import Verdict, analyse, resolve

    try:
        moment = datetime.fromisoformat(instant) if instant else datetime.now().astimezone()
    except ValueError as trouble:
        raise click.BadParameter(str(trouble), param_hint="--at") from trouble
    if moment.tzinfo is None:
        raise click.BadParameter("a time zone is wanted: 2026-12-01T09:30+08:00", param_hint="--at")
    table = read_table(path)
    found = analyse(table, number, moment.timestamp())
    if found.verdict is Verdict.LOOK_UP:
        click.echo("portability is not asked here; without an answer:")
        found = resolve(table, found, None)
    for step in found.steps:
        click.echo(f"  {step}")
    for schedule in table.schedules.values():
        state = "open" if schedule.open_at(moment.timestamp()) else "closed"
        change = schedule.next_change(moment.timestamp())
        until = f" until {datetime.fromtimestamp(change, schedule.zone):%Y-%m-%d %H:%M %Z}" if change else ""
        click.echo(f"  schedule {schedule.name} is {state}{until}")
    if found.route is not None:
        tiers = [", ".join(f"{m.number} (weight {m.weight})" for m in tier) for tier in found.route.tiers]
        click.echo(f"  servers: {'; then '.join(tiers)}")
    click.echo(f"{found.verdict.value}{f': {found.reason}' if found.reason else ''}")
    sys.exit(found.verdict is not Verdict.ROUTED)


if __name__ == "__main__":
    main()
