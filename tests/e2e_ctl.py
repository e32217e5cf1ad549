"""Runs nutmegtallyctl against the stand-in of the object API. Guards against unintended changes of the configuration,
wrong exit codes and secrets that are stored in clear text."""

import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile
import urllib.request

BIN = pathlib.Path(sys.argv[1])
CONFIG = {
    "models": {"tally-llm": {}},
    "classes": {"drafting": {"model": "tally-llm", "firstTokenMs": 2000}},
    "domains": {"north-pl": {"region": "mu"}, "central-cp": {"region": "mu"}},
}


class Fleet:
    """Stand-in of the object API, and a settings file for nutmegtallyctl."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.process = subprocess.Popen([BIN / "nutmegtally-standin", "objects"], stdout=subprocess.PIPE, text=True)
        port = re.search(r"listening (\d+)", self.process.stdout.readline())[1]
        self.url = f"http://127.0.0.1:{port}"
        self.settings = folder / "ctl.json"
        self.settings.write_text(json.dumps({"objects": f"127.0.0.1:{port}"}))
        self.token = ""

    def ctl(self, *arguments: str, code: int = 0) -> str:
        environment = {**os.environ, "NUTMEGTALLY_TOKEN": self.token, "NUTMEGTALLY_CTL_SETTINGS": str(self.settings)}
        result = subprocess.run([BIN / "nutmegtallyctl", *arguments], env=environment, capture_output=True, text=True, timeout=30)
        assert result.returncode == code, (arguments, result.returncode, result.stdout, result.stderr)
        return result.stdout if code == 0 else result.stdout + result.stderr


def check(fleet: Fleet, folder: pathlib.Path) -> None:
    operator_token = json.loads(fleet.ctl("operator", "add", "ana", "--role", "operate"))["token"]
    fleet.token = "wrong"
    assert "NT1801" in fleet.ctl("config", "show", code=1)
    fleet.token = operator_token
    reader_token = json.loads(fleet.ctl("operator", "add", "ben", "--role", "read"))["token"]

    configuration_file = folder / "fleet.json"
    configuration_file.write_text(json.dumps(CONFIG))
    assert "drafting" in fleet.ctl("config", "diff", str(configuration_file))
    fleet.ctl("config", "apply", str(configuration_file), "--reason", "first", "--dry-run")
    assert json.loads(fleet.ctl("config", "show"))["version"] == 0
    fleet.ctl("config", "apply", str(configuration_file), "--reason", "first")
    assert json.loads(fleet.ctl("config", "show"))["classes"]["drafting"]["model"] == "tally-llm"
    assert "not a configured model" in fleet.ctl("class", "set", "quick", "--model", "missing", "--answer-ms", "9", "--reason", "x", code=1)

    # No process answers, so the remaining capacity is unknown: closing a domain needs --force, and the message says so.
    assert "--force" in fleet.ctl("domain", "close", "north-pl", "--reason", "power", code=1)
    fleet.ctl("domain", "close", "north-pl", "--reason", "power", "--force")
    assert "no other failure domain" in fleet.ctl("domain", "close", "central-cp", "--reason", "x", code=1)
    fleet.ctl("domain", "reopen", "north-pl", "--reason", "done")

    key = json.loads(fleet.ctl("account", "create", "desk", "--reason", "new"))["key"]
    fleet.ctl("account", "rotate", "desk", "--reason", "yearly")
    assert json.loads(fleet.ctl("account", "list", "--json"))[0]["keys"] == "2"

    fleet.token = reader_token
    fleet.ctl("domain", "list")
    assert "operate" in fleet.ctl("domain", "reopen", "north-pl", "--reason", "x", code=1)
    audit = json.loads(fleet.ctl("audit", "--json"))
    assert [entry["who"] for entry in audit] == ["ana"] * 5, audit
    assert [entry["why"] for entry in audit][:3] == ["first", "power", "done"], audit

    for name in ("config/head", "access/operators"):
        stored = urllib.request.urlopen(f"{fleet.url}/objects/{name}", timeout=5).read().decode()
        assert key not in stored and operator_token not in stored and reader_token not in stored
    fleet.ctl("config", "show", "--unknown", code=2)
    fleet.process.terminate()
    fleet.process.wait(timeout=10)
    fleet.ctl("config", "show", code=4)


def main() -> None:
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        fleet = Fleet(folder)
        try:
            check(fleet, folder)
        finally:
            if fleet.process.poll() is None:
                fleet.process.terminate()
                fleet.process.wait(timeout=10)
    print("e2e_ctl: passed")


main()
