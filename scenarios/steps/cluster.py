"""Start clusters and inject faults."""

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
        {world_module.MODEL_SERVICE: {'checks_fence': False}},
    )


@given(
    'a cluster of {count:d} instances that snapshot every {records:d} records'
)
def start_cluster_with_snapshots(context, count, records):
    context.world.start(count, snapshot_records=records)


@given('a cluster of {count:d} instances, {name} with its own link to the log')
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
    """Publish and wait until every live instance has applied the change."""
    done = context.world.cluster.publish(nodes)
    assert done.returncode == 0, done.stderr
    revision = int(done.stdout.split()[-1])
    wait_revision(context, revision, context.world.live_instances(), 14)


def wait_revision(context, revision, names, timeout_s):
    """Wait until instances have applied a settings revision."""
    cluster = context.world.cluster
    for name in names:
        cluster.wait(
            lambda name=name: revision_at(cluster, name) >= revision,
            f'{name} has revision {revision}',
            timeout_s,
        )


def revision_at(cluster, name):
    """Return the settings revision that an instance has applied."""
    return cluster.call(name, 'GET', '/v1/status')['settings_revision']


@given('the log retains {count:d} records')
@when('the log retains {count:d} records')
def limit_retention(context, count):
    context.world.cluster.set_faults('log', retain=count)


@when('the log goes down')
def take_log_down(context):
    context.world.cluster.set_faults('log', down=1)
    cluster = context.world.cluster
    for name in context.world.live_instances():
        cluster.wait(
            lambda name=name: (
                not cluster.call(name, 'GET', '/v1/status')['log']['healthy']
            ),
            f'{name} detects that the log is down',
        )


@when('the log comes back')
def bring_log_up(context):
    cluster = context.world.cluster
    cluster.set_faults('log', down=0, slow_s=0)
    for name in context.world.live_instances():
        cluster.wait(
            lambda name=name: cluster.call(name, 'GET', '/v1/status')['log'][
                'healthy'
            ],
            f'{name} reads the log',
        )


@when('the log responds {seconds:g} s late')
def delay_log_responses(context, seconds):
    context.world.cluster.set_faults('log', slow_s=seconds)


@when('the log loses the next {count:d} responses')
def lose_log_responses(context, count):
    context.world.cluster.set_faults('log', lose_answers=count)


@when('the next {count:d} appends take effect {seconds:g} s late')
def delay_appends(context, count, seconds):
    context.world.cluster.set_faults('log', late_count=count, late_s=seconds)


@when('instance {name} is cut from the log')
def cut_log_link(context, name):
    cluster = context.world.cluster
    cluster.links[name].cut()
    cluster.wait(
        lambda: not cluster.call(name, 'GET', '/v1/status')['log']['healthy'],
        f'{name} detects that its link is cut',
    )


@when('instance {name} reaches the log again')
def restore_log_link(context, name):
    context.world.cluster.links[name].heal()


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
def freeze_instance(context, name):
    context.world.cluster.processes[name].signal(signal.SIGSTOP)
    context.world.step_data.setdefault('frozen', set()).add(name)


@when('instance {name} resumes')
def resume_instance(context, name):
    context.world.cluster.processes[name].signal(signal.SIGCONT)
    context.world.step_data['frozen'].discard(name)


@when('instance {name} starts')
def start_instance(context, name):
    context.world.start_instance(name)
    context.world.cluster.wait_ready(name)


@when('instance {name} receives SIGTERM')
def send_sigterm(context, name):
    context.world.cluster.processes[name].signal(signal.SIGTERM)


@when('instance {name} has exited with status 0')
@then('instance {name} has exited with status 0')
def check_exited(context, name):
    process = context.world.cluster.processes[name]
    context.world.cluster.wait(
        lambda: not process.alive, f'{name} has exited', 60
    )
    assert process.popen.returncode == 0, process.popen.returncode


@when('{seconds:g} s pass')
def wait_seconds(context, seconds):
    time.sleep(seconds)


@then('within {seconds:g} s no entry list contains instance {name}')
def check_not_listed(context, seconds, name):
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
            for other in context.world.live_instances()
            if other != name
        )

    cluster.wait(unlisted, f'{name} is in no entry list', seconds)


@when('upstream {name} has the fault {fault} = {value:g}')
def set_fault(context, name, fault, value):
    context.world.cluster.set_faults(name, **{fault: value})


@when('upstream {name} is listed as leaving')
def list_as_leaving(context, name):
    context.world.cluster.register(name, 'leaving')


def lease_holder(context):
    """Return the live instance that holds the weight lease."""
    for name in context.world.live_instances():
        status = context.world.cluster.call(name, 'GET', '/v1/status')
        if status['weight_leases']:
            return name
    return None


@when('every earlier log record has expired')
def expire_log_records(context):
    """Send checklist entries until every record present now has expired."""
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
            world_module.CHECKLIST_SERVICE, {'order': order}, 10.0, order
        )
        assert outcome.delivered, outcome


@when('{kind} {name} is set as leaving in the settings')
def publish_leaving(context, kind, name):
    cluster = context.world.cluster
    key = f'leaving_{kind}s'
    done = cluster.publish({'root': {key: [name]}})
    assert done.returncode == 0, done.stderr
