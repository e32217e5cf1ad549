"""A change of the configuration is made while the store is silent for a second; 4 s later the zone is lost whose two routers have the short watches
of the configuration; then a key is revoked. The other routers, which are in touch all the while, must refuse the key `apply_ms` later."""

import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
import revoked_key  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def scenario(deployment):
    deployment.change_configuration(is_silent=TROUBLE)
    if TROUBLE:
        deployment.lose_zone("north-pl")
    time.sleep(1)
    return deployment.revoke()


sys.exit(revoked_key.run(FOLDER, scenario))
