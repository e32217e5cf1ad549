"""Prints the preprocessor flags that the compilation database holds for one source file."""

import json
import os
import shlex
import sys


def main() -> None:
    database, source = sys.argv[1], os.path.realpath(sys.argv[2])
    with open(database, encoding="utf-8") as file:
        entries = json.load(file)
    for entry in entries:
        if os.path.realpath(entry["file"]) == source:
            words = shlex.split(entry["command"])
            kept = []
            for i, word in enumerate(words):
                if word.startswith(("-I", "-D", "-std")):
                    kept.append(word)
                elif word == "-isystem":
                    kept += [word, words[i + 1]]
            print(shlex.join(kept))
            return


main()
