"""What all stories share: nothing here waits for a drawn moment, unless the story is about that."""

import pytest

from wickstep.recovery import jitter


@pytest.fixture(autouse=True)
def no_jitter(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(jitter, "DIAL_JITTER_US", 0)
    monkeypatch.setattr(jitter, "LIST_JITTER_S", 0.0)
