"""Checks that docs/log-events.md lists exactly the events of the table in include/nutmegtally/log_events.h, and that
docs/metrics.md lists exactly the metrics of nutmegtally-entry."""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent


def table_rows() -> list[str]:
    """Rows of the catalogue as the header's table implies them."""
    header = (ROOT / "include/nutmegtally/log_events.h").read_text(encoding="utf-8")
    numbers = dict(re.findall(r"^    (\w+) = (\d{4}),$", header, re.M))
    entries = re.findall(r'\{log_event::(\w+),\s*"(\w+)",\s*log_level::(\w+),\s*"([^"]*)"\}', header)
    if set(numbers) != {entry[0] for entry in entries}:
        sys.exit("check_docs: logEventTable and enum log_event differ")
    return [f"| NT{numbers[event]} | {name} | {level} | {meaning} |" for event, name, level, meaning in entries]


def check_entry_metrics() -> None:
    """Fails if the page and the daemon name different metrics."""
    source = (ROOT / "programs/entry/entry_metrics.cpp").read_text(encoding="utf-8")
    served = set(re.findall(r'"(nutmegtally_entry_\w+)"', source))
    page = (ROOT / "docs/metrics.md").read_text(encoding="utf-8")
    listed = set(re.findall(r"^\| `(nutmegtally_entry_\w+)`", page, re.M))
    if served != listed:
        sys.exit(f"check_docs: docs/metrics.md and entry_metrics.cpp differ: {sorted(served ^ listed)}")
    print("check_docs: docs/metrics.md lists the metrics of nutmegtally-entry")


def main() -> None:
    check_entry_metrics()
    page = ROOT / "docs/log-events.md"
    text = "\n".join(
        ["# Log events", "", "Generated from `include/nutmegtally/log_events.h` by `scripts/check_docs.py --write`.", "",
         "| number | name | level | meaning |", "| --- | --- | --- | --- |", *table_rows(), ""]
    )
    if "--write" in sys.argv:
        page.write_text(text, encoding="utf-8")
        return
    if not page.exists() or page.read_text(encoding="utf-8") != text:
        sys.exit("check_docs: docs/log-events.md differs from log_events.h; run scripts/check_docs.py --write")
    print("check_docs: docs/log-events.md matches the table")


main()
