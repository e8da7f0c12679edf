"""A part of prompts crashes each runner that begins an answer on it; it is the 18th of 22 parts."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins-3"))
from fleet3 import Fleet, route, run
from parts3 import DEADLY, PartRunner, check_budget

TURNS = [f"{0xa0000000 + turn:08x}" for turn in range(21)]
PLACE = 18


def parts_of(kind):
    turns = list(TURNS)
    if kind == "deadly":
        turns[PLACE - 1] = DEADLY
    return turns


async def case():
    fleet = Fleet(pathlib.Path(__file__).resolve().parent,
                  [route("/draft/", "stream", "lm-pool", resumeStreams=True, affinity=True)],
                  [{"name": "lm-pool", "healthPath": "/healthz"}])
    for number in range(12):
        fleet.add(f"i-{number}", "lm-pool", PartRunner)
    try:
        return await check_budget(fleet, parts_of)
    finally:
        await fleet.close()


run(case)
