"""What all stories share: nothing here waits for a drawn moment, unless the story is about that."""

import pytest

from wickstep.recovery import phases


@pytest.fixture(autouse=True)
def at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(phases, "DIAL_SPREAD_US", 0)
    monkeypatch.setattr(phases, "LIST_SPREAD_S", 0.0)
