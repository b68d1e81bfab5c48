"""Scenarios in tests/features against the daemons as separate processes.

The judges are the stand-ins' own records of what they were given.
"""

import itertools
import threading
import time
import uuid

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from arbutusladder.routing import home_shard
from tests.harness import http_request, wait_for
from tests.load import RequestLoad
from tests.processcell import ProcessCell, log_route_name, new_idempotency_key

scenarios("ownership.feature")
scenarios("work.feature")
scenarios("requests.feature")
scenarios("configuration.feature")
scenarios("handover.feature")

LEASE_S = 6.0
SEND_LIMIT_S = 10.0


class Scene:
    """State of one scenario."""

    def __init__(self, directory):
        self.directory = directory
        self.cell = None
        self.load = None
        self.jobs = []
        self.chosen = None
        self.shard = None
        self.key = None
        self.answers = []
        self.noted = None
        self.waiting = []
        self.runs_before = []

    def live_seat(self):
        """Returns a seat whose process runs and is not paused."""
        return next(seat for seat in self.cell.seats if seat != self.chosen)


@pytest.fixture
def scene(tmp_path):
    scene = Scene(tmp_path)
    yield scene
    if scene.load:
        scene.load.stop()
    if scene.cell:
        scene.cell.close()


def make_cell(scene, **options):
    scene.cell = ProcessCell(scene.directory, **options)
    scene.cell.start_and_configure()


def submit(scene, count, seat=None):
    """Submits until a job is accepted; one whose outcome is unknown may run, too."""
    while True:
        answer = scene.cell.submit_job("residual-long", seat, tasks=count)
        if "parts" in answer:
            scene.jobs.append((answer["parts"][0]["job_id"], count))
            return
        assert answer["reason"] in {"owner_silent", "shard_unowned"}, answer


def runs_by_task(scene):
    found = {}
    records = scene.cell.fetch_records(scene.cell.workers).values()
    runs = [run for record in records for run in record["runs"]]
    for run in runs + scene.runs_before:
        found.setdefault(run["task_id"], []).append(run)
    return found


@given(parsers.parse("a cell of {count:d} entry VMs"))
def _cell(scene, count):
    make_cell(scene, entries=count)


@given(parsers.parse("a cell of {count:d} entry VMs with links that can be cut"))
def _cell_with_peer_links(scene, count):
    make_cell(scene, entries=count, relayed=True)


@given(parsers.parse("jobs of {count:d} short tasks wait on every shard"))
def _short_tasks(scene, count):
    shards = {shard["shard"] for shard in scene.cell.fetch_shards(scene.cell.seats[0])}
    placed = set()
    while placed != shards:
        answer = scene.cell.submit_job("residual-short", tasks=count)["parts"][0]
        assert answer["outcome"] == "done", answer
        placed.add(answer["shard"])


@given(
    parsers.parse("a cell of {count:d} entry VMs with task leases of {lease:d} seconds")
)
def _cell_with_leases(scene, count, lease):
    make_cell(scene, entries=count, timing={"task_lease_s": lease})


@given(parsers.parse("{count:d} long tasks run on every shard"))
def _long_tasks(scene, count):
    shards = [shard["shard"] for shard in scene.cell.fetch_shards(scene.cell.seats[0])]
    placed = set()
    while placed != set(shards):
        answer = scene.cell.submit_job("residual-long", tasks=count)["parts"][0]
        assert answer["outcome"] == "done", answer
        scene.jobs.append((answer["job_id"], count))
        placed.add(answer["shard"])
        time.sleep(0.6)
    _every_task_runs(scene, 20)


@given("a load of requests on all entry VMs")
def _load(scene):
    scene.load = RequestLoad(
        [scene.cell.address_by_name[seat] for seat in scene.cell.seats]
    )
    scene.load.start()


@given(parsers.parse("a load of requests of {work_ms:d} ms on all entry VMs"))
def _slow_load(scene, work_ms):
    addresses = [scene.cell.address_by_name[seat] for seat in scene.cell.seats]
    scene.load = RequestLoad(addresses, work_ms)
    scene.load.start()


@when("the load stops")
def _load_stops(scene):
    scene.load.stop()


@when(parsers.re(r"(?P<seconds>\d+) seconds? pass"), converters={"seconds": int})
def _pass(seconds):
    time.sleep(seconds)


def choose_owner(scene):
    owners = scene.cell.fetch_owner_by_shard()
    scene.shard, scene.chosen = next(
        (shard, owner) for shard, owner in sorted(owners.items()) if owner
    )
    return scene.cell.process_by_name[scene.chosen]


@when("the owner of a shard is killed")
def _kill_owner(scene):
    choose_owner(scene).kill()


@when("the owner of a shard is paused")
def _pause_owner(scene):
    choose_owner(scene).pause()


@when("an entry VM is killed")
def _kill_entry(scene):
    scene.chosen = scene.cell.seats[1]
    scene.cell.process_by_name[scene.chosen].kill()


@when("an entry VM is paused")
def _pause_entry(scene):
    scene.chosen = scene.cell.seats[1]
    scene.cell.process_by_name[scene.chosen].pause()


@when("the paused entry VM continues")
def _continue_entry(scene):
    scene.cell.process_by_name[scene.chosen].resume()
    scene.paused, scene.chosen = scene.chosen, None


@when("an entry VM is killed and started again")
def _restart_entry(scene):
    scene.paused = scene.cell.seats[1]
    scene.cell.process_by_name[scene.paused].kill()
    scene.cell.start_entry(1)


@when("an entry VM is terminated")
def _terminate_entry(scene):
    scene.chosen = scene.cell.seats[1]
    scene.load.avoid_when_unready(scene.cell.address_by_name[scene.chosen])
    scene.cell.process_by_name[scene.chosen].terminate()


@when("an entry VM is terminated twice")
def _terminate_twice(scene):
    _terminate_entry(scene)
    time.sleep(0.2)
    scene.cell.process_by_name[scene.chosen].terminate()


@when("an owner is cut off from its peers")
def _isolate(scene):
    choose_owner(scene)
    scene.cell.cut_routes(scene.cell.peer_route_names(scene.chosen))


@when("an owner is cut off from its peers and the log")
def _isolate_from_all(scene):
    _isolate(scene)
    scene.cell.cut_routes([log_route_name(scene.chosen)])


@when("jobs are submitted to both sides")
def _submit_both(scene):
    for seat in scene.cell.seats:
        answer = scene.cell.submit_job("residual-long", seat, tasks=2)
        if "parts" in answer:
            scene.jobs.append((answer["parts"][0]["job_id"], 2))


@when("a worker with tasks of a shard stops answering")
def _freeze_worker(scene):
    choose_owner(scene)
    domain = scene.shard.rpartition("-")[0]
    records = scene.cell.fetch_records(scene.cell.workers)
    # The other worker keeps answering, so that a wrong start has a place.
    scene.worker = next(
        name for name, record in records.items() if domain in name and record["runs"]
    )
    scene.cell.set_faults(scene.worker, frozen=True)


@when("the worker answers again")
def _thaw_worker(scene):
    scene.cell.set_faults(scene.worker, frozen=False)


@when("the owner of the shard is stopped")
def _stop_chosen(scene):
    scene.cell.process_by_name[scene.chosen].terminate()


@when("a task that must not be repeated runs")
def _run_reconciliation(scene):
    answer = scene.cell.submit_job("reconciliation")
    scene.jobs.append((answer["parts"][0]["job_id"], 1))
    _every_task_runs(scene, 10)


@when("its worker is killed")
def _kill_worker(scene):
    records = scene.cell.fetch_records(scene.cell.workers)
    scene.worker = next(name for name, record in records.items() if record["runs"])
    scene.runs_before = records[scene.worker]["runs"]
    scene.cell.process_by_name[scene.worker].kill()
    scene.cell.workers.remove(scene.worker)


@when("the owner of the shard is killed")
def _kill_chosen(scene):
    scene.cell.process_by_name[scene.chosen].kill()


@when("requests wait for the paused entry VM")
def _waiting_requests(scene):
    scene.waiting = [
        threading.Thread(target=wait_for_answer, args=(scene, scene.chosen))
        for _ in range(8)
    ]
    for thread in scene.waiting:
        thread.start()
    time.sleep(0.5)


def wait_for_answer(scene, seat):
    scene.answers.append(scene.cell.send_request("lookup", seat))


@when("the owner of a shard is cut off from the log")
def _cut_owner(scene):
    choose_owner(scene)
    scene.cell.cut_routes([log_route_name(scene.chosen)])
    scene.noted, scene.chosen = scene.chosen, None


@when("an entry VM is cut off from the log")
def _cut_entry(scene):
    scene.cell.cut_routes([log_route_name(scene.cell.seats[1])])


@when("the log goes down")
def _log_down(scene):
    scene.cell.set_faults("log", outage=True)


@when("the log comes back")
def _log_back(scene):
    scene.cell.set_faults("log", outage=False)


@when(parsers.parse("the next {count:d} replies of the log are lost"))
def _lose_log_replies(scene, count):
    scene.cell.set_faults("log", lose_replies=count)


@when(parsers.parse("the next {count:d} replies of every worker are lost"))
def _lose_worker_replies(scene, count):
    for worker in scene.cell.workers:
        scene.cell.set_faults(worker, lose_replies=count)


@when(parsers.parse("{count:d} more tasks are submitted"))
def _submit_more(scene, count):
    submit(scene, count, scene.live_seat())


@when(parsers.parse("{jobs:d} jobs of {tasks:d} tasks are submitted to the same shard"))
def _submit_to_one_shard(scene, jobs, tasks):
    # A job with an id of its own goes to its home shard, full or not.
    shards = [shard["shard"] for shard in scene.cell.fetch_shards(scene.cell.seats[0])]
    ids = (f"job-{number}" for number in itertools.count())
    same = (name for name in ids if home_shard(name, shards) == shards[0])
    for job_id in itertools.islice(same, jobs):
        answer = scene.cell.submit_job("residual-long", job_id=job_id, tasks=tasks)
        assert answer["parts"][0]["shard"] == shards[0], answer
        scene.jobs.append((job_id, tasks))


@when("a worker with tasks is paused")
def _pause_worker(scene):
    records = scene.cell.fetch_records(scene.cell.workers)
    scene.worker = next(name for name, record in records.items() if record["runs"])
    scene.cell.process_by_name[scene.worker].pause()


@when("the paused worker continues")
def _continue_worker(scene):
    scene.cell.process_by_name[scene.worker].resume()


@when("a worker is drained")
def _drain_worker(scene):
    scene.worker = scene.cell.workers[0]
    address = scene.cell.address_by_name[scene.cell.seats[0]]
    path = f"/v1/vms/{scene.worker}/drain"
    answer = http_request(address, "POST", path, {"draining": True})
    assert answer.status == 200, answer.body


@when(parsers.parse("{count:d} keys are sent to all entry VMs at once"))
def _send_keys(scene, count):
    keys = [new_idempotency_key() for _ in range(count)]
    threads = [
        threading.Thread(target=send_key, args=(scene, key, seat))
        for key, seat in itertools.product(keys, scene.cell.seats)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(SEND_LIMIT_S)


def send_key(scene, key, seat):
    scene.answers.append(scene.cell.send_request(f"key {key}", seat, key))


@when("a key is sent whose home is the shard of the owner to be stopped")
@when("a key is sent whose home is the shard of the owner to be killed")
def _send_home_key(scene):
    choose_owner(scene)
    for _ in range(100):
        key = new_idempotency_key()
        answer = scene.cell.send_request("once", key=key)
        if answer.headers["fake-executor"].startswith(
            f"executor-{scene.shard.rpartition('-')[0]}"
        ):
            scene.key = key
            return
    raise AssertionError("no key had its home on the shard")


@when("the key is sent again")
def _send_key_again(scene):
    scene.answers.append(scene.cell.send_request("once", scene.live_seat(), scene.key))


@when("every executor dies in the middle of its next answer")
def _die_in_answer(scene):
    for executor in scene.cell.executors:
        scene.cell.set_faults(executor, die_in_body=1)


@when(parsers.parse("{count:d} requests are sent"))
def _send_requests(scene, count):
    scene.load = RequestLoad(
        [scene.cell.address_by_name[seat] for seat in scene.cell.seats]
    )
    for number in range(count):
        scene.load.send_one(number)


@when("an executor is listed as leaving")
def _list_leaving(scene):
    scene.executor = scene.cell.executors[0]
    record = scene.cell.vm_by_name[scene.executor]
    record["state"] = "leaving"
    scene.cell.update_vm_list([record])


@when("the record of the leaving executor is noted")
def _note_record(scene):
    record = scene.cell.fetch_records([scene.executor])[scene.executor]
    scene.noted = len(record["runs"])


@when("two operators publish on the same base at once")
def _race(scene):
    def publish(seat, author, preset):
        changes = {"active_preset": preset}
        scene.answers.append(scene.cell.publish_config(changes, 1, author, seat))

    threads = [
        threading.Thread(target=publish, args=arguments)
        for arguments in (
            (scene.cell.seats[0], "anna", "peak"),
            (scene.cell.seats[1], "bram", "ordinary"),
        )
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(SEND_LIMIT_S)


@when("preset peak is chosen")
def _choose_peak(scene):
    choose_peak(scene, scene.cell.seats[0])


@when("preset peak is chosen elsewhere")
def _choose_peak_elsewhere(scene):
    choose_peak(scene, scene.cell.seats[0])


def choose_peak(scene, seat):
    body = {
        "change_id": str(uuid.uuid4()),
        "base_revision": 1,
        "author": "operator",
        "preset": "peak",
    }
    address = scene.cell.address_by_name[seat]
    answer = http_request(address, "POST", "/v1/presets", body)
    assert answer.status == 200, answer.body


# Judges


@when(parsers.re(r"every shard has a live owner within (?P<limit>\d+) seconds?"))
@then(parsers.re(r"every shard has a live owner within (?P<limit>\d+) seconds?"))
def _all_owned(scene, limit):
    seat = scene.live_seat()
    wait_for(
        lambda: all(
            shard["owner"] and shard["owner"] != scene.chosen
            for shard in scene.cell.fetch_shards(seat)
        ),
        int(limit),
        "every shard has a live owner",
    )


@then("the shard still has the same owner")
def _same_owner(scene):
    owners = [
        scene.cell.fetch_owner_by_shard(seat)[scene.shard] for seat in scene.cell.seats
    ]
    assert owners == [scene.noted] * len(owners)


@then("the shard has no owner")
def _no_owner(scene):
    assert scene.cell.fetch_owner_by_shard(scene.live_seat())[scene.shard] == ""


@then(parsers.re(r"every task runs within (?P<limit>\d+) seconds?"))
def _every_task_runs(scene, limit):
    expected = {f"{job}/{n}" for job, count in scene.jobs for n in range(count)}

    def all_run():
        running = {
            task
            for task, runs in runs_by_task(scene).items()
            if any(not run["ended_at"] for run in runs)
        }
        return expected <= running

    wait_for(all_run, int(limit), f"all of {len(expected)} tasks run")


@then("every task was started once")
def _started_once(scene):
    starts = {task: len(runs) for task, runs in runs_by_task(scene).items()}
    assert set(starts.values()) == {1}, starts


@then("no task ever ran in two places")
def _one_place(scene):
    for task, runs in runs_by_task(scene).items():
        runs.sort(key=lambda run: run["started_at"])
        for earlier, later in itertools.pairwise(runs):
            assert earlier["ended_at"], (task, runs)
            assert earlier["ended_at"] <= later["started_at"], (task, runs)


@then("no task was stopped by another owner")
def _not_stopped(scene):
    # Nothing is cancelled or preempted here, so only an owner that finds tasks
    # of another owner stops any.
    for task, runs in runs_by_task(scene).items():
        assert all(run["end"] != "stopped" for run in runs), (task, runs)


@then("no worker was given more than it has")
def _within_capacity(scene):
    for name, record in scene.cell.fetch_records(scene.cell.workers).items():
        assert not record["over_capacity"], (name, record["peak"])


@then("the drained worker got no tasks")
def _drained(scene):
    record = scene.cell.fetch_records([scene.worker])[scene.worker]
    assert record["runs"] == []


@then(parsers.parse("requests are answered during {seconds:d} seconds"))
def _answered(scene, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        answer = scene.cell.send_request("lookup", scene.live_seat())
        assert answer.status == 200, answer.body
        time.sleep(0.1)


@then("a durable job is refused with log_unavailable")
def _refused_job(scene):
    answer = scene.cell.submit_job("residual-batch", scene.live_seat())
    assert (answer["outcome"], answer["reason"]) == ("not_run", "log_unavailable")


@then(parsers.parse("a job is accepted within {limit:d} seconds"))
def _accepted_job(scene, limit):
    wait_for(
        lambda: "parts" in scene.cell.submit_job("residual-batch"),
        limit,
        "job accepted",
    )


@then("a job larger than every worker is refused with never_fits")
def _never_fits(scene):
    changes = {
        "workloads": [
            {
                "name": "giant",
                "team": "residuals",
                "kind": "batch",
                "task": {"cpu": 32, "memory_mb": 512},
            }
        ]
    }
    assert scene.cell.publish_config(changes, 1).status == 200
    answer = scene.cell.submit_job("giant")
    assert (answer["outcome"], answer["reason"]) == ("not_run", "never_fits")


@then("every key was answered as done")
def _keys_done(scene):
    assert {answer.status for answer in scene.answers} == {200}


@then("no key ran twice")
def _keys_once(scene):
    counts = {}
    for record in scene.cell.fetch_records(scene.cell.executors).values():
        for key, count in record["runs_by_key"].items():
            counts[key] = counts.get(key, 0) + count
    assert counts and set(counts.values()) == {1}, counts


@then("the second answer is unknown")
def _second_unknown(scene):
    answer = scene.answers[-1]
    assert answer.status == 504, answer.body
    assert answer.json()["reason"] == "key_before_takeover"


@then("the second answer is the first one")
def _same_answer(scene):
    answer = scene.answers[-1]
    assert (answer.status, answer.body) == (200, b"once")


@then("its job has failed with not_idempotent_retry")
def _job_failed(scene):
    job_id = scene.jobs[0][0]
    view = wait_for(
        lambda: (job := scene.cell.job(job_id))["state"] == "failed" and job,
        20,
        "the job has failed",
    )
    assert view["reason"] == "not_idempotent_retry"


@then("answers agree with the records of the executors")
def _agree(scene):
    scene.load.check_invariants(scene.cell.fetch_records(scene.cell.executors))


@then("no answer is short")
def _not_short(scene):
    for sent in scene.load.sent:
        assert sent.status != 200 or sent.body == sent.marker.encode()


@then(parsers.parse("at least {count:d} requests were done"))
def _done(scene, count):
    done = [sent for sent in scene.load.sent if sent.status == 200]
    assert len(done) >= count


@then("every lookup through another entry VM was done")
def _lookups_done(scene):
    address = scene.cell.address_by_name[scene.paused]
    others = [sent for sent in scene.load.sent if sent.address != address]
    lost = [sent for sent in others if not sent.key and sent.status != 200]
    assert lost == []


@then("the leaving executor ran nothing since")
def _ran_nothing(scene):
    record = scene.cell.fetch_records([scene.executor])[scene.executor]
    assert len(record["runs"]) == scene.noted


@then("the terminated entry VM exited with 0")
def _exited(scene):
    assert scene.cell.process_by_name[scene.chosen].wait(30) == 0


@then("no connection to it was cut")
def _no_cut(scene):
    cut = [sent for sent in scene.load.sent if sent.status == 0]
    assert cut == []


@then("no request in flight was cut")
def _none_cut(scene):
    # A second SIGTERM skips the wait for the balancer, so new connections may
    # be refused; a request that was sent must still be answered.
    cut = [sent for sent in scene.load.sent if sent.status == 0 and not sent.refused]
    assert cut == []


@then("one is accepted and the other is told the winner")
def _one_winner(scene):
    by_status = {answer.status: answer.json() for answer in scene.answers}
    assert set(by_status) == {200, 409}, by_status
    config = http_request(
        scene.cell.address_by_name["seat-2"], "GET", "/v1/config"
    ).json()
    assert by_status[409]["winner"] in {"anna", "bram"}
    wait_for(lambda: scene.cell.fetch_revision("seat-2") == 2, 16, "revision 2")
    config = http_request(
        scene.cell.address_by_name["seat-2"], "GET", "/v1/config"
    ).json()
    assert config["author"] == by_status[409]["winner"]


@then(
    parsers.parse("all entry VMs agree on the configuration within {limit:d} seconds")
)
def _agree_on_config(scene, limit):
    wait_for(
        lambda: {scene.cell.fetch_revision(seat) for seat in scene.cell.seats} == {2},
        limit,
        "revision 2 everywhere",
    )


@then(parsers.parse("the revision is {revision:d}"))
def _revision(scene, revision):
    assert {scene.cell.fetch_revision(seat) for seat in scene.cell.seats} == {revision}


@then("it answers no request under an old revision")
def _no_old_revision(scene):
    for thread in scene.waiting:
        thread.join(SEND_LIMIT_S)
    end = time.monotonic() + 5
    answered = False
    while time.monotonic() < end and not answered:
        try:
            answer = scene.cell.send_request("lookup", scene.paused)
        except OSError:
            time.sleep(0.02)
            continue
        if answer.status == 200:
            answered = True
            assert answer.headers["arbutusladder-revision"] == "2"
    assert answered
    for answer in scene.answers:
        if answer.status == 200:
            assert answer.headers["arbutusladder-revision"] == "2"


@then("publishing is refused with log_unavailable")
def _publish_refused(scene):
    answer = scene.cell.publish_config({"active_preset": "peak"}, 1)
    assert (answer.status, answer.json()["reason"]) == (503, "log_unavailable")
