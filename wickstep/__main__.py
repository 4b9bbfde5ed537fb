"""The command line. It owns signals, logging and exit codes; it must never hold what serves a call."""

from __future__ import annotations

import logging
import signal
import sys
import threading
from pathlib import Path
from typing import Any

import click

VERSION = "0.1.0"


@click.group()
def main() -> None:
    """Call admission and routing for a softswitch."""


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"wickstep {VERSION}")


def read(path: Path) -> Any:
    from wickstep.net.softswitch import Config

    try:
        return Config.read(path.read_bytes())
    except (OSError, ValueError, KeyError, TypeError) as trouble:
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


@main.command()
@CONFIG
@click.option("--verbose", is_flag=True, help="Log more than warnings.")
def serve(path: Path, verbose: bool) -> None:
    """Serve calls until SIGTERM; SIGUSR1 prints the counters."""
    from wickstep.net import links, softswitch

    logging.basicConfig(
        stream=sys.stderr,
        level=logging.INFO if verbose else logging.WARNING,
        format="%(asctime)s %(name)s %(message)s",
    )
    threading.stack_size(links.STACK)
    switch = softswitch.Softswitch(read(path))

    def stop(*_: object) -> None:
        switch.stop_asked = True

    def count(*_: object) -> None:
        switch.counts_asked = True

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    signal.signal(signal.SIGUSR1, count)
    switch.run()
    softswitch.leave()


if __name__ == "__main__":
    main()
