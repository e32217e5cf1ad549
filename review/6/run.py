"""A zone is lost for good. LATER_S after that, when its routers should be forgotten, the store is silent for a second in which the configuration
changes; 4 s later a key is revoked. The other routers, which are in touch all the while, must refuse the key `apply_ms` later."""

import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
import revoked_key  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LATER_S = 24.0  # routers are to be forgotten after 15 s (limits::routerLifetime); the waits that ran then have ended too


def scenario(deployment):
    if TROUBLE:
        deployment.lose_zone("north-pl")
    time.sleep(LATER_S)
    deployment.change_configuration(is_silent=TROUBLE)
    time.sleep(1)
    return deployment.revoke()


sys.exit(revoked_key.run(FOLDER, scenario))
