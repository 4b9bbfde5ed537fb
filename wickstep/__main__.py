"""The command line. It owns signals, logging and exit codes; it must never hold code that serves a call."""

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
from wickstep.net.config import Config

if TYPE_CHECKING:
    from wickstep.net.admit import AdmitStage
    from wickstep.net.state import SharedState
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


class InvalidConfig(click.ClickException):
    exit_code = 2


def read(path: Path) -> Config:
    try:
        return Config.read(path.read_bytes())
    except (OSError, ValueError, LookupError, TypeError, AttributeError) as error:
        raise InvalidConfig(f"{path}: {str(error).splitlines()[0] if str(error) else error!r}") from error


CONFIG_OPTION = click.option(
    "--config",
    "path",
    envvar="ROUTER_CONFIG",
    required=True,
    type=click.Path(path_type=Path),
    help="Configuration file in JSON; by default the file that ROUTER_CONFIG names.",
)


@main.command("check-config")
@CONFIG_OPTION
def check_config(path: Path) -> None:
    """Check a configuration and print a summary of it."""
    config = read(path)
    click.echo(f"{config.name} listens on {config.listen}, classes: {', '.join(config.classes)}")


TO_OPTION = click.option(
    "--to", default="127.0.0.1:5080", show_default=True, help="Address of the softswitch."
)


def exchange(to: str, message: Message, last_type: type[Message]) -> Iterator[Message]:
    """Sends one message and yields the messages about the same call, up to the first of `last_type`."""
    splitter = codec.Splitter()
    try:
        with socket.create_connection(links.parse_address(to), timeout=5) as sock:
            sock.sendall(codec.encode(message))
            sock.settimeout(60)
            while data := sock.recv(4096):
                for received in splitter.feed(data):
                    if received.call == message.call:
                        yield received
                        if isinstance(received, last_type):
                            return
    except (OSError, ValueError, MalformedMessage) as error:
        raise click.ClickException(f"{to}: {error}") from error
    raise click.ClickException(f"{to}: connection closed before the last expected message")


@main.command()
@TO_OPTION
def test(to: str) -> None:
    """Ask a running softswitch whether it is ready to take calls."""
    for received in exchange(to, Test(secrets.randbits(64)), TestResult):
        passed = isinstance(received, TestResult) and received.passed
        click.echo("ready" if passed else "not ready")
        sys.exit(not passed)


@main.command()
@TO_OPTION
@click.option("--class", "klass", default="general", show_default=True)
@click.option("--number", default="7f3a9c21e0b4d655", show_default=True, help="The number called.")
@click.option("--wait-ms", default=3000, show_default=True, help="How long to wait for the answer.")
def call(to: str, klass: str, number: str, wait_ms: int) -> None:
    """Set up one call by hand and print the messages about it until its release."""
    set_up = SetUp(secrets.randbits(64), klass, wait_ms, number, b"v=0 by hand")
    for received in exchange(to, set_up, Release):
        click.echo(received)


@main.command()
@CONFIG_OPTION
@click.option("--verbose", is_flag=True, help="Log informational messages too, not only warnings.")
@click.option(
    "--numbers",
    "numbers_path",
    type=click.Path(path_type=Path),
    help="Number table in KDL for the analysis of called numbers; reloaded on SIGHUP.",
)
@click.option(
    "--recovery",
    "recovery_path",
    type=click.Path(path_type=Path),
    help="Recovery file in KDL: where learned state is kept across restarts.",
)
def serve(path: Path, verbose: bool, numbers_path: Path | None, recovery_path: Path | None) -> None:
    """Serve calls until SIGTERM; SIGHUP reloads the configuration, SIGUSR1 prints the counters."""
    logging.basicConfig(
        stream=sys.stderr,
        level=logging.INFO if verbose else logging.WARNING,
        format="%(asctime)s %(name)s %(message)s",
    )
    switch: softswitch.Softswitch | None = None
    early_requests: list[str] = []  # signals that arrived before the softswitch was created

    def request(attribute: str) -> Callable[..., None]:
        return lambda *_: (
            early_requests.append(attribute) if switch is None else setattr(switch, attribute, True)
        )

    # Handlers are installed before the configuration is read and the socket listens: the default action of
    # each signal would end the process and lose what it has received. A change that an early SIGHUP announces
    # is not lost, as the configuration is read below, or again when the request is handled.
    signal.signal(signal.SIGTERM, request("stop_requested"))
    signal.signal(signal.SIGINT, request("stop_requested"))
    signal.signal(signal.SIGHUP, request("reload_requested"))
    signal.signal(signal.SIGUSR1, request("counts_requested"))
    threading.stack_size(links.THREAD_STACK)
    config = read(path)
    store = make_store(recovery_path, config.name)
    switch = softswitch.Softswitch(config, lambda: read(path), make_analysis(numbers_path), store)
    for attribute in early_requests:
        setattr(switch, attribute, True)
    host, port = switch.listener.address
    click.echo(f"{switch.shared.config.name} listens on {host}:{port}", err=True)
    switch.run()
    softswitch.exit_process()


def read_kdl_file(path: Path, reader: Callable[[str], T]) -> T:
    """Reads an operator's KDL file with its parser; raises ClickException that says what is wrong with it."""
    from wickstep.forms import KdlError

    try:
        return reader(path.read_text())
    except (OSError, KdlError, UnicodeDecodeError) as error:
        raise click.ClickException(f"{path}: {error}") from error


def make_store(path: Path | None, softswitch_name: str) -> LearnedStore | None:
    """The store that keeps learned state across restarts; None without a recovery file."""
    if path is None:
        return None
    from wickstep.recovery import plan
    from wickstep.recovery.store import LearnedStore

    return LearnedStore(read_kdl_file(path, plan.read), softswitch_name)


def make_analysis(
    path: Path | None,
) -> Callable[[SharedState, AdmitStage], softswitch.NumberAnalysis] | None:
    """A factory of the stage of number analysis; None without a table, and then no module of it is loaded."""
    if path is None:
        return None
    from wickstep.numbering import stage

    table = read_table(path)
    return lambda shared, admit: stage.NumberStage(shared, admit, path, table)


def read_table(path: Path) -> Table:
    from wickstep.numbering import stage
    from wickstep.numbering.table import InvalidTable

    try:
        return stage.load_table(path)
    except InvalidTable as error:
        problems = "\n".join(map(str, error.diagnostics))
        raise click.ClickException(f"{path} is not a valid number table\n{problems}") from error


@main.command()
@click.argument("scenario_path", metavar="SCENARIO", type=click.Path(path_type=Path))
@click.option("--json", "json_path", type=click.Path(path_type=Path), help="Also write the report here.")
@click.option("--seed", type=int, help="Replaces the seed of the scenario.")
@click.option(
    "--program",
    type=click.Path(path_type=Path, exists=True, file_okay=False),
    help="Another checkout of this project, whose softswitches are run.",
)
def rehearse(scenario_path: Path, json_path: Path | None, seed: int | None, program: Path | None) -> None:
    """Run a scenario of faults with real softswitches on loopback; exit code 0 if all rules were kept."""
    import tempfile
    from dataclasses import replace

    from wickstep.rehearsal import processes, report, run, scenario

    script = read_kdl_file(scenario_path, scenario.read)
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
@click.option("--seed", type=int, help="Replaces the seed of the plan.")
@click.option("--json", "json_path", type=click.Path(path_type=Path), help="Also write the measures here.")
@click.option("--html", "html_path", type=click.Path(path_type=Path), help="Write a page with a plot here.")
def model(plan_path: Path, seed: int | None, json_path: Path | None, html_path: Path | None) -> None:
    """Simulate a fleet of real controllers on a virtual clock; the same plan gives the same figures."""
    from dataclasses import replace

    from wickstep.fleet import plan, report
    from wickstep.fleet.model import Model

    script = read_kdl_file(plan_path, plan.read)
    result = Model(script if seed is None else replace(script, seed=seed)).run()
    click.echo("\n".join(report.format_lines(result)))
    if json_path is not None:
        json_path.write_text(ujson.dumps(report.as_json(result)))
    if html_path is not None:
        html_path.write_text(report.render_page(result, f"{script.name}, seed {result.plan.seed}"))


@main.command()
@click.argument("logs", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True))
@click.option("--aim-s", default=1.5, show_default=True, help="A set-up that takes longer counts as late.")
@click.option("--html", "html_path", type=click.Path(path_type=Path), help="Write a page with a plot here.")
def spread(logs: tuple[Path, ...], aim_s: float, html_path: Path | None) -> None:
    """Report how evenly softswitches loaded setup servers, from a `serve --verbose` log of each."""
    from wickstep.spread import report
    from wickstep.spread.logs import LogReader

    reader = LogReader()
    for number, path in enumerate(logs):
        with path.open(errors="replace") as lines:
            reader.add_log(number, lines)
    record = reader.build_record(aim_s)
    if not record.sent:
        raise click.ClickException("no set-up found: expected the logs of `serve --verbose`")
    phases = [report.Phase("all", 0.0, record.duration_s)]
    click.echo("\n".join(report.format_lines(record, phases)))
    if html_path is not None:
        html_path.write_text(report.render_page("spread", record, phases))


EXIT_NO_ANSWER = 3  # exit code if no softswitch answers at the operators' address
OPERATOR_OPTION = click.option(
    "--at",
    "where",
    envvar="ROUTER_OPERATOR",
    default="127.0.0.1:5081",
    show_default=True,
    help="The operators' address of the softswitch; by default the one that ROUTER_OPERATOR names.",
)


def send_operator_command(address: str, command: str) -> list[str]:
    """Sends a command to the operators' address; exits with `EXIT_NO_ANSWER` if there is no reply."""
    from wickstep.operation import operator_server

    try:
        lines = operator_server.send_command(address, command)
    except (OSError, ValueError) as error:
        click.echo(f"{address}: {error}", err=True)
        sys.exit(EXIT_NO_ANSWER)
    if not lines:
        click.echo(f"{address}: connection closed without a reply", err=True)
        sys.exit(EXIT_NO_ANSWER)
    return lines


def print_reply_and_exit(address: str, command: str) -> None:
    """Prints the reply to a command; exits with code 0 on success, 1 on failure."""
    from wickstep.operation import commands

    word, _, text = send_operator_command(address, command)[0].partition(" ")
    click.echo(text or word)
    sys.exit(word != commands.SUCCESS)


@main.command()
@OPERATOR_OPTION
def status(where: str) -> None:
    """Print whether a running softswitch is ready; exit code 0: ready, 1: not ready, 3: no answer."""
    print_reply_and_exit(where, "STATUS")


@main.command()
@OPERATOR_OPTION
def pause(where: str) -> None:
    """Drain a running softswitch: it sends callers elsewhere and keeps running."""
    print_reply_and_exit(where, "PAUSE")


@main.command()
@OPERATOR_OPTION
def resume(where: str) -> None:
    """Let a paused softswitch take callers again."""
    print_reply_and_exit(where, "RESUME")


@main.command()
@OPERATOR_OPTION
def metrics(where: str) -> None:
    """Print the metrics of a running softswitch, see docs/on-call.md."""
    from wickstep.operation import commands

    lines = send_operator_command(where, "METRICS")
    if lines[-1] != commands.END_OF_REPLY:
        click.echo(f"{where}: {lines[0]}", err=True)
        sys.exit(1)
    click.echo("\n".join(lines[:-1]))


@main.group()
def numbers() -> None:
    """Inspect a table of number analysis."""


@numbers.command("check")
@click.argument("path", type=click.Path(path_type=Path))
def check_numbers(path: Path) -> None:
    """Check a table and print its size, or what is wrong with it; exit code 0: valid, 1: invalid."""
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
    help="The number table, in KDL.",
)
@click.option("--at", "instant", default="", help="Time, such as 2026-12-01T09:30+08:00; by default now.")
def explain_number(number: str, path: Path, instant: str) -> None:
    """Print how a number is analysed at a time, and why; exit code 0 if it is routed."""
    from wickstep.numbering.analysis import Verdict, analyse, resolve

    try:
        moment = datetime.fromisoformat(instant) if instant else datetime.now().astimezone()
    except ValueError as error:
        raise click.BadParameter(str(error), param_hint="--at") from error
    if moment.tzinfo is None:
        raise click.BadParameter(
            "expected a time with a UTC offset, such as 2026-12-01T09:30+08:00", param_hint="--at"
        )
    table = read_table(path)
    found = analyse(table, number, moment.timestamp())
    if found.verdict is Verdict.LOOK_UP:
        click.echo("number portability is not looked up here; result without an answer:")
        found = resolve(table, found, None)
    for step in found.steps:
        click.echo(f"  {step}")
    for schedule in table.schedules.values():
        state = "open" if schedule.is_open_at(moment.timestamp()) else "closed"
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
