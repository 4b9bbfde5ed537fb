"""The command line. It owns signals, logging and exit codes; it must never hold what serves a call."""

from __future__ import annotations

import logging
import secrets
import signal
import socket
import sys
import threading
from collections.abc import Iterator
from pathlib import Path

import click

from wickstep import __version__
from wickstep.net import Message, Release, SetUp, Test, TestResult, codec, links, softswitch


@click.group()
def main() -> None:
    """Call admission and routing for a softswitch."""


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"wickstep {__version__}")


def read(path: Path) -> softswitch.Config:
    try:
        return softswitch.Config.read(path.read_bytes())
    except (OSError, ValueError, LookupError, TypeError, AttributeError) as trouble:
        raise click.ClickException(f"{path}: {trouble!r}") from trouble


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
        with socket.create_connection(links.address(to), timeout=5) as sock:
            sock.sendall(codec.encode(message))
            sock.settimeout(60)
            while data := sock.recv(4096):
                for heard in splitter.feed(data):
                    if heard.call == message.call:
                        yield heard
                        if isinstance(heard, last):
                            return
    except (OSError, ValueError, codec.Malformed) as trouble:
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
def serve(path: Path, verbose: bool) -> None:
    """Serve calls until SIGTERM; SIGHUP reads the configuration again, SIGUSR1 prints the counters."""
    logging.basicConfig(
        stream=sys.stderr,
        level=logging.INFO if verbose else logging.WARNING,
        format="%(asctime)s %(name)s %(message)s",
    )
    threading.stack_size(links.STACK)
    switch = softswitch.Softswitch(read(path), lambda: read(path))

    def stop(*_: object) -> None:
        switch.stop_asked = True

    def reload(*_: object) -> None:
        switch.reload_asked = True

    def count(*_: object) -> None:
        switch.counts_asked = True

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    signal.signal(signal.SIGHUP, reload)  # its default would end the process
    signal.signal(signal.SIGUSR1, count)
    host, port = switch.listener.where
    click.echo(f"{switch.floor.config.name} listens on {host}:{port}", err=True)
    switch.run()
    softswitch.leave()


if __name__ == "__main__":
    main()
