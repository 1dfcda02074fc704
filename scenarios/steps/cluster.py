"""Start clusters and make their parts fail."""

import signal
import time

from behave import given
from behave import then
from behave import when

from scenarios import world as world_module


@given('a cluster of {count:d} instances')
def start_cluster(context, count):
    context.world.start(count)


@given('a cluster of {count:d} instances with engines that ignore fences')
def start_cluster_without_fences(context, count):
    context.world.start(count, ('--ignores-fence',))
    publish(
        context,
        {world_module.MODEL: {'checks_fence': False}},
    )


@given('a cluster of {count:d} instances that snapshot every {records:d}')
def start_cluster_with_snapshots(context, count, records):
    context.world.start(count, snapshot_records=records)


@given('a cluster of {count:d} instances, {name} with a link of its own')
def start_cluster_with_link(context, count, name):
    cluster = context.world.cluster
    original = cluster.start_platform

    def start_platform():
        original()
        cluster.link_to_log(name)

    cluster.start_platform = start_platform
    context.world.start(count)


@given('the settings')
@when('the settings are published')
def publish_rows(context):
    nodes = {}
    for row in context.table:
        value = row['value']
        parsed = float(value) if _is_number(value) else value
        if isinstance(parsed, float) and parsed.is_integer():
            parsed = int(parsed)
        nodes.setdefault(row['node'], {})[row['key']] = parsed
    publish(context, nodes)


def _is_number(text):
    return text.replace('.', '', 1).isdigit()


def publish(context, nodes):
    """Publish and wait until every live instance follows."""
    done = context.world.cluster.publish(nodes)
    assert done.returncode == 0, done.stderr
    revision = int(done.stdout.split()[-1])
    wait_revision(context, revision, context.world.live(), 14)


def wait_revision(context, revision, names, timeout_s):
    """Wait until instances have a revision in force."""
    cluster = context.world.cluster
    for name in names:
        cluster.wait(
            lambda name=name: revision_at(cluster, name) >= revision,
            f'{name} has revision {revision}',
            timeout_s,
        )


def revision_at(cluster, name):
    """Return the revision that an instance has in force."""
    return cluster.call(name, 'GET', '/v1/status')['settings_revision']


@given('the log keeps {count:d} records')
@when('the log keeps {count:d} records')
def limit_retention(context, count):
    context.world.cluster.set_faults('log', retain=count)


@when('the log goes down')
def log_down(context):
    context.world.cluster.set_faults('log', down=1)
    cluster = context.world.cluster
    for name in context.world.live():
        cluster.wait(
            lambda name=name: (
                not cluster.call(name, 'GET', '/v1/status')['log']['healthy']
            ),
            f'{name} notices that the log is down',
        )


@when('the log comes back')
def log_up(context):
    cluster = context.world.cluster
    cluster.set_faults('log', down=0, slow_s=0)
    for name in context.world.live():
        cluster.wait(
            lambda name=name: cluster.call(name, 'GET', '/v1/status')['log'][
                'healthy'
            ],
            f'{name} reads the log',
        )


@when('the log answers {seconds:g} s late')
def log_slow(context, seconds):
    context.world.cluster.set_faults('log', slow_s=seconds)


@when('the log loses the next {count:d} answers')
def log_loses(context, count):
    context.world.cluster.set_faults('log', lose_answers=count)


@when('the next {count:d} appends land {seconds:g} s late')
def log_late(context, count, seconds):
    context.world.cluster.set_faults('log', late_count=count, late_s=seconds)


@when('instance {name} is cut from the log')
def cut_from_log(context, name):
    cluster = context.world.cluster
    cluster.links[name].cut()
    cluster.wait(
        lambda: not cluster.call(name, 'GET', '/v1/status')['log']['healthy'],
        f'{name} notices the cut',
    )


@when('instance {name} reaches the log again')
def heal_link(context, name):
    context.world.cluster.links[name].restore()


@when('instance {name} is killed')
def kill_instance(context, name):
    context.world.cluster.processes[name].kill()


@when('upstream {name} is killed')
def kill_upstream(context, name):
    context.world.cluster.processes[name].kill()


@when('upstream {name} starts again')
def restart_upstream(context, name):
    context.world.cluster.restart_standin(name)


@when('instance {name} is frozen')
def freeze(context, name):
    context.world.cluster.processes[name].signal(signal.SIGSTOP)
    context.world.notes.setdefault('frozen', set()).add(name)


@when('instance {name} wakes')
def wake(context, name):
    context.world.cluster.processes[name].signal(signal.SIGCONT)
    context.world.notes['frozen'].discard(name)


@when('instance {name} starts')
def start_one(context, name):
    context.world.start_instance(name)
    context.world.cluster.wait_ready(name)


@when('instance {name} is told to leave')
def terminate(context, name):
    context.world.cluster.processes[name].signal(signal.SIGTERM)


@when('instance {name} has ended by itself')
@then('instance {name} has ended by itself')
def has_ended(context, name):
    process = context.world.cluster.processes[name]
    context.world.cluster.wait(
        lambda: not process.alive, f'{name} has ended', 60
    )
    assert process.popen.returncode == 0, process.popen.returncode


@when('{seconds:g} s pass')
def let_pass(context, seconds):
    time.sleep(seconds)


@then('within {seconds:g} s instance {name} is on no entry list')
def not_listed(context, seconds, name):
    cluster = context.world.cluster

    def unlisted():
        return all(
            name
            not in [
                entry['instance']
                for entry in cluster.call(other, 'GET', '/v1/entries')[
                    'entries'
                ]
            ]
            for other in context.world.live()
            if other != name
        )

    cluster.wait(unlisted, f'{name} is on no entry list', seconds)


@when('upstream {name} has the fault {fault} = {value:g}')
def set_fault(context, name, fault, value):
    context.world.cluster.set_faults(name, **{fault: value})


@when('upstream {name} is marked as leaving')
def mark_leaving(context, name):
    context.world.cluster.register(name, 'leaving')


def holder(context):
    """Return the live instance that holds the weight lease."""
    for name in context.world.live():
        status = context.world.cluster.call(name, 'GET', '/v1/status')
        if status['weight_leases']:
            return name
    return None


@when('the log has moved past its retention')
def pass_retention(context):
    """Send entries until no record that was there is kept."""
    world = context.world
    cluster = world.cluster
    path = '/topics/baobabpond/partitions/0/offsets'
    goal = cluster.call('log', 'GET', path)['end_offset']
    router = world.router('filler')
    number = 0
    while cluster.call('log', 'GET', path)['beginning_offset'] < goal:
        order = f'filler-{number}'
        number += 1
        outcome = router.send(
            world_module.ENTRIES, {'order': order}, 10.0, order
        )
        assert outcome.delivered, outcome


@when('{kind} {name} is set as leaving')
def set_leaving(context, kind, name):
    cluster = context.world.cluster
    key = f'leaving_{kind}s'
    done = cluster.publish({'root': {key: [name]}})
    assert done.returncode == 0, done.stderr
