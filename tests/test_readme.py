"""The Python example in README.md runs as printed."""

import contextlib
import io
import re
from pathlib import Path


def test_readme_example_prints_the_documented_output() -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text(encoding="utf-8")
    code = re.search(r"```python\n(.*?)```", text, re.S)
    assert code is not None
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        exec(code.group(1), {})
    assert output.getvalue().strip() == "['Wake', 'Wake', 'Send']"
