"""Fixture of all tests: switches random delays off, except where a test is about them."""

import pytest

from wickstep.recovery import jitter


@pytest.fixture(autouse=True)
def no_jitter(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(jitter, "DIAL_JITTER_US", 0)
    monkeypatch.setattr(jitter, "LIST_JITTER_S", 0.0)
