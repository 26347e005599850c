"""An entry of another writer repeats a minion's address; the next leader starts the minion's tasks again."""

import asyncio
import json
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standin

MINIONS = 12
WORK_MS = 15000
JOB = "00000000000000c1"
MISSING = ("id", "version", "slots", "seq", "cold_left_ms")


def two_runs_at_once(fleet, job):
    """Tasks of a job of which two runs were at work at the same time, on minions that were up."""
    found = []
    for at, name, task, run in fleet.starts:
        for other_at, other_name, other_task, other_run in fleet.starts:
            if not task.startswith(job) or other_task != task or (other_name, other_run) == (name, run) or other_at > at:
                continue
            ends = [row[0] for row in fleet.ends if row[1:4] == (other_name, task, other_run)]
            if not ends or ends[0] > at:
                found.append((task, other_name, other_run, name, run))
    return found


async def case(record, work, trouble, holder):
    store = standin.Store()
    await store.http.start()
    fleet = standin.Fleet(record)
    for index in range(MINIONS):
        await standin.Minion(fleet, store, f"m-{index:02d}", f"zone-{'abc'[index % 3]}", f"r-{index % 3}").start()
    asyncio.create_task(standin.expire_entries(fleet, store))
    store.put("keyed.op", "config", json.dumps(standin.configuration()).encode())
    nodes = holder["nodes"] = standin.Nodes(store, ["zone-a", "zone-b", "zone-c"], work)
    for index in range(3):
        nodes.start(nodes.add(index))
    for node in nodes.nodes:
        if not await nodes.wait_ready(node):
            return None
    requester = standin.Requester(record)
    await asyncio.sleep(2.0)
    steps = [{"count": 4, "cpu": 8000, "mem_mb": 4096, "gpus": 8, "estimate_ms": WORK_MS}]
    if not await requester.submit(nodes.nodes, JOB, steps, json.dumps({"work_ms": WORK_MS})):
        return None
    await asyncio.sleep(2.0)
    busy = [minion for minion in fleet.minions if minion.runs]
    if len(busy) != 4:
        return None
    if trouble:
        topic = store.topic("keyed.servers")
        entry = json.loads(topic.records[topic.newest[busy[0].name]][1])
        for field in MISSING:
            del entry[field]
        store.put("keyed.servers", "copy-of-" + busy[0].name, json.dumps(entry).encode())
        record.write("entry.foreign", key="copy-of-" + busy[0].name, value=json.dumps(entry).replace(" ", ""))
    await asyncio.sleep(2.0)

    # Planned work: the leader is stopped and started again, as in `roll_term`.
    leader = await nodes.leader()
    if leader is None:
        return None
    leader["process"].send_signal(signal.SIGTERM)
    record.write("node.term", node=leader["name"])
    leader["process"].wait()
    nodes.start(leader)
    record.write("node.started", node=leader["name"])
    state = None
    end = record.now() + 40.0
    while state != "completed" and record.now() < end:
        await asyncio.sleep(0.5)
        state = await requester.state(nodes.nodes[1], JOB)
    twice = two_runs_at_once(fleet, JOB)
    record.write("judged", state=state, starts=len(fleet.starts), two_runs_at_once=twice)
    return bool(twice)


if __name__ == "__main__":
    standin.main(case, FOLDER)
