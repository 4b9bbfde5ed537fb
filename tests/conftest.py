"""What holds for all tests: random delays are off, and the tests of KNOWN-RED.txt are expected to fail."""

import pytest

from wickstep.recovery import jitter

from . import known_red


@pytest.fixture(autouse=True)
def no_jitter(monkeypatch: pytest.MonkeyPatch) -> None:
    """Switch random delays off, except where a test is about them."""
    monkeypatch.setattr(jitter, "DIAL_JITTER_US", 0)
    monkeypatch.setattr(jitter, "LIST_JITTER_S", 0.0)


@pytest.hookimpl(tryfirst=True)  # before tests are left out by -k or -m
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    all_collected = not any("::" in argument for argument in config.args)
    try:
        known_red.mark_tests(items, known_red.parse(known_red.PATH.read_text()).tests, all_collected)
    except (OSError, known_red.InvalidKnownRed) as error:
        raise pytest.UsageError(f"KNOWN-RED.txt: {error}") from error
