"""Measure the cost of one more item of each kind in one process."""

import argparse
import collections.abc
import json
import time
import tracemalloc
import typing

from baobabpond.claims import fold as claim_fold
from baobabpond.gen.peer import ttypes
from baobabpond.http import adapters
from baobabpond.log import client as log_client
from baobabpond.log import state as state_module
from baobabpond.members import gossip
from baobabpond.members import instance_list
from baobabpond.members import table as table_module
from baobabpond import metrics
from baobabpond.rollout import session
from baobabpond.rollout import specs
from baobabpond.rollout import step as step_module
from baobabpond.routing import upstreams
from baobabpond.settings import check
from baobabpond.settings import fold as settings_fold
from measure import registry
from standins import cluster as cluster_module

US_PER_S = 1e6
CLAIMS = 20_000
MEMBERS = 420
POLLS = 300
SAMPLES = 1024
STEP_GROUP = 8
SAMPLE_TEXT = 'v7 ' * 400
NODES = 100


class Cost(typing.NamedTuple):
    """Record the processor time and memory of one item."""

    cpu_us: float
    memory_bytes: float


def measure_cost(
    action: collections.abc.Callable[[], object], count: int
) -> Cost:
    """Return processor time and retained memory per item of an action."""
    started = time.process_time()
    retained = action()
    cpu_s = time.process_time() - started
    del retained
    tracemalloc.start()
    retained = action()
    memory, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del retained
    return Cost(round(cpu_s / count * US_PER_S, 2), round(memory / count, 1))


def fold_claims() -> state_module.State:
    """Fold CLAIMS claims into a new state."""
    state = state_module.State()
    for number in range(CLAIMS):
        item = {
            'type': 'claim',
            'claim_id': f'{number:032x}',
            'key': f'caller/deployment/service/{number:032x}',
            'holder': 'entry-1',
            'incarnation': 1,
            'body_digest': f'{number:032x}',
            'keep_s': 86_400,
        }
        value = {'sender': 'a', 'seq': number + 1, 'time_s': 1.0}
        record = log_client.Record(number, {**value, 'items': [item]})
        state.apply(record)
    assert len(state.fold(claim_fold.ClaimFold)) == CLAIMS
    return state


def fold_senders() -> state_module.State:
    """Fold one record from each of CLAIMS senders into a new state."""
    state = state_module.State()
    for number in range(CLAIMS):
        value = {'sender': f'entry-{number}@{number}', 'seq': 1}
        state.apply(
            log_client.Record(number, {**value, 'time_s': 1.0, 'items': []})
        )
    return state


def new_member(number: int) -> ttypes.Member:
    """Create a member with a unique name and address."""
    return ttypes.Member(
        instance=f'entry-{number}',
        incarnation=0,
        address=f'127.1.{number // 250}.{number % 250}',
        http_port=8080,
        peer_port=8081,
        data_centre='kl-bengkel',
        state=ttypes.MemberState.ALIVE,
        settings_revision=1000,
        started_us=1_796_000_000_000_000,
    )


def merge_members() -> table_module.MemberTable:
    """Merge MEMBERS members into a new table."""
    table = table_module.MemberTable(new_member(0), metrics.Metrics())
    for number in range(1, MEMBERS):
        table.merge(new_member(number))
    return table


def publish_nodes() -> state_module.State:
    """Publish a change to each of NODES settings nodes in sequence."""
    state = state_module.State()
    for number in range(NODES):
        item = {
            'type': 'publish',
            'publish_id': str(number),
            'base_revision': number,
            'author': 'ayu',
            'message': 'a change',
            'changes': [
                {'node': f'd{number}/s', 'key': 'timeout_s', 'value': 3}
            ],
        }
        value = {'sender': 'a', 'seq': number + 1, 'time_s': 1.0}
        state.apply(log_client.Record(number, {**value, 'items': [item]}))
    return state


def run_step() -> list[object]:
    """Generate one rollout step and pull all of its samples."""
    settings = {**check.default_tree(), 'step_concurrency': 16}
    generated = step_module.Sample(SAMPLE_TEXT, 400, (7,), 0.0)
    owner = session.Session(
        lambda: typing.cast(typing.Any, settings),
        lambda _attempt, _minimum: generated._replace(text=SAMPLE_TEXT + 'x'),
        lambda _upstream: False,
        metrics.Metrics(),
    )
    groups = [
        {'name': str(n), 'prompt': 'p', 'samples': 8, 'max_tokens': 400}
        for n in range(SAMPLES // STEP_GROUP)
    ]
    spec = specs.parse_step(1, {'groups': groups}).unwrap()
    owner.open(spec, 7)
    pulled: list[object] = []
    cursor, done = '', False
    while not done:
        batch = owner.pull(1, cursor, 7, 64, time.monotonic() + 10).unwrap()
        pulled.append(batch.groups)
        cursor, done = str(batch.cursor), batch.done
    owner.stop()
    return pulled


def measure_polls(cluster: cluster_module.Cluster) -> dict[str, Cost]:
    """Poll an engine, a plain service and the instance list."""
    adapter_set = adapters.AdapterSet()
    costs = {}
    for kind, name in (('completions', 'm-0'), ('plain_http', 's-0')):
        upstream = upstreams.Upstream(
            name, 'd/s', cluster.processes[name].address, 8080, 'x'
        )
        adapter = adapter_set.named(kind)
        costs[f'load_poll_{kind}'] = _measure_cpu(
            lambda adapter=adapter, upstream=upstream: adapter.poll_load(
                upstream
            )
        )
    listed = instance_list.InstanceList(cluster.processes['list'].url)
    for number in range(MEMBERS):
        entry = {
            'Node': {'Datacenter': 'kl-bengkel'},
            'Service': {
                'ID': f'entry-{number}',
                'Address': '127.0.0.1',
                'Port': 8080,
                'Meta': {'peer_port': '8081', 'state': 'live'},
            },
        }
        cluster.call('list', 'PUT', f'/register/many/e-{number}', entry)
    costs['list_poll_empty'] = _measure_cpu(lambda: listed.read('none'))
    costs['list_poll_420'] = _measure_cpu(lambda: listed.read('many'))
    return costs


def _measure_cpu(action: collections.abc.Callable[[], object]) -> Cost:
    action()
    started = time.process_time()
    for _ in range(POLLS):
        action()
    cpu_s = time.process_time() - started
    return Cost(round(cpu_s / POLLS * US_PER_S, 1), 0.0)


def measure_gossip_message() -> Cost:
    """Measure the coding time and size of a datagram full of rumours."""
    message = ttypes.GossipMessage(
        kind=ttypes.GossipKind.PING,
        sequence=100_000,
        sender=new_member(0),
        rumours=[new_member(n) for n in range(gossip.RUMOURS_PER_MESSAGE)],
    )
    size = len(gossip.encode(message))
    timed = _measure_cpu(lambda: gossip.decode(gossip.encode(message)))
    return Cost(timed.cpu_us, float(size))


@registry.measurements.register('slopes')
def slopes(
    options: argparse.Namespace,
) -> collections.abc.Iterator[registry.Row]:
    """Measure the cost of one item of each kind."""
    costs = {
        'claim_folded': measure_cost(fold_claims, CLAIMS),
        'sender_folded': measure_cost(fold_senders, CLAIMS),
        'member_merged': measure_cost(merge_members, MEMBERS),
        'publish_folded': measure_cost(publish_nodes, NODES),
        'sample_committed_and_handed': measure_cost(run_step, SAMPLES),
        'gossip_message_full': measure_gossip_message(),
    }
    shared = fold_claims()
    dumped = json.dumps(shared.dump())
    costs['claim_in_snapshot'] = Cost(0.0, round(len(dumped) / CLAIMS, 1))
    tree_text = publish_nodes().fold(settings_fold.SettingsFold).tree.to_json()
    costs['node_in_tree'] = Cost(0.0, round(len(tree_text) / NODES, 1))
    with cluster_module.Cluster(options.seed[0]) as cluster:
        cluster.start_platform()
        for service, kind in (('d/m', 'engine'), ('d/s', 'plain_service')):
            cluster.start_upstreams(
                cluster_module.Upstreams(service, kind, 1), ['x']
            )
        costs.update(measure_polls(cluster))
    for name, measured in costs.items():
        yield {'measure': 'slopes', 'variant': name, **measured._asdict()}
