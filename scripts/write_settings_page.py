"""Writes docs/settings.md from the JSON Schemas in config/. With --check it only compares."""

import json
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
INTRO = """# Settings

Generated from `config/*.schema.json` by `scripts/write_settings_page.py`.

A daemon reads one settings file, `--settings FILE`: JSON with `//` and `/* */` comments. Unknown members are faults. All
faults are reported at once with their path and remedy, and the process ends with exit code 3. `--check` only checks the
settings and the configuration file, and ends with 0 or 3. `config/agent.example.json`, `config/router.example.json`,
`config/entry.example.json` and `config/fleet.example.json` are complete examples. Settings are read once, at start; what operators change at run time is in
the fleet configuration.

Exit codes of all programs: 0 success, 1 operation failed or work was cut at shutdown, 2 usage, 3 invalid settings,
4 platform or peer unreachable, 5 conflict.
"""


def kind(schema: dict) -> str:
    """Type and range of a member in words."""
    if "enum" in schema:
        return "one of " + ", ".join(f"`{value}`" for value in schema["enum"])
    words = schema["type"]
    if "minimum" in schema:
        words += f", {schema['minimum']} to {schema['maximum']}" if "maximum" in schema else f", at least {schema['minimum']}"
    return words


def rows(schema: dict, prefix: str) -> list[str]:
    """Table rows of all members, depth first."""
    lines = []
    for name, member in schema["properties"].items():
        required = name in schema.get("required", [])
        if member.get("type") == "object":
            lines += rows(member, f"{prefix}{name}.")
            continue
        default = "required" if required else f"`{json.dumps(member['default'])}`" if "default" in member else "none"
        lines.append(f"| `{prefix}{name}` | {kind(member)} | {default} | {member.get('description', '')} |")
    return lines


def page() -> str:
    """The whole page."""
    parts = [INTRO]
    for program in ("router", "agent", "entry"):
        schema = json.loads((ROOT / f"config/{program}.schema.json").read_text(encoding="utf-8"))
        parts.append(f"## nutmegtally-{program}\n\n| member | value | default | meaning |\n| --- | --- | --- | --- |\n")
        parts[-1] += "\n".join(rows(schema, "")) + "\n"
    return "\n".join(parts)


def main() -> None:
    target = ROOT / "docs/settings.md"
    if "--check" not in sys.argv:
        target.write_text(page(), encoding="utf-8")
    elif not target.exists() or target.read_text(encoding="utf-8") != page():
        sys.exit("write_settings_page: docs/settings.md differs from the schemas; run scripts/write_settings_page.py")


main()
