"""A part of prompts crashes each runner as it writes the first event of an answer on it."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins-3"))
from fleet3 import Fleet, route, run
from parts3 import DEADLY, PartRunner, check_budget

SHARED = ["91bd3f06", "5c1e07a2"]


class FirstEventRunner(PartRunner):
    events_before_crash = 1


def parts_of(kind):
    return [SHARED[0], DEADLY] if kind == "deadly" else SHARED


async def case():
    fleet = Fleet(pathlib.Path(__file__).resolve().parent,
                  [route("/draft/", "stream", "lm-pool", resumeStreams=True, affinity=True)],
                  [{"name": "lm-pool", "healthPath": "/healthz"}])
    for number in range(12):
        fleet.add(f"i-{number}", "lm-pool", FirstEventRunner)
    try:
        return await check_budget(fleet, parts_of)
    finally:
        await fleet.close()


run(case)
