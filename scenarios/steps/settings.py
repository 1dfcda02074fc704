"""Publish settings and check that instances apply them."""

import threading
import time

from behave import then
from behave import when

from scenarios.steps import cluster as cluster_steps
from scenarios import world as world_module


@when('operators {first} and {second} publish against the same revision')
def publish_concurrently(context, first, second):
    cluster = context.world.cluster
    base = cluster_steps.revision_at(
        cluster, context.world.live_instances()[0]
    )
    futures = [
        context.world.executor.submit(
            cluster.publish,
            {world_module.LOOKUP_SERVICE: {'max_attempts': number + 1}},
            author,
            base,
        )
        for number, author in enumerate((first, second))
    ]
    context.world.step_data['publishes'] = [
        f.result(timeout=60) for f in futures
    ]
    context.world.step_data['base'] = base


@then(
    'exactly one is accepted and '
    'the other is refused with the name of the winner'
)
def check_one_accepted(context):
    codes = sorted(
        done.returncode for done in context.world.step_data['publishes']
    )
    assert codes == [0, 6], [
        d.stderr for d in context.world.step_data['publishes']
    ]
    loser = next(
        d for d in context.world.step_data['publishes'] if d.returncode
    )
    assert 'published by' in loser.stderr, loser.stderr


@then('within {seconds:g} s all instances have the same settings')
def check_same_settings(context, seconds):
    cluster = context.world.cluster
    goal = context.world.step_data['base'] + 1

    def same():
        found = {
            (status['settings_revision'], status['settings_digest'])
            for status in (
                cluster.call(name, 'GET', '/v1/status')
                for name in context.world.live_instances()
            )
        }
        return len(found) == 1 and found.pop()[0] >= goal

    cluster.wait(same, 'all instances have the same settings', seconds)


@then('the history shows both publishes')
def check_history(context):
    done = context.world.cluster.command('settings', 'history')
    assert done.stdout.count('accepted as revision') >= 2, done.stdout
    assert done.stdout.count('refused: based on revision') == 1, done.stdout


@when('the settings revisions of all instances are monitored')
def monitor_revisions(context):
    world = context.world
    world.step_data['revisions'] = {}
    world.step_data['reverted'] = []
    stop = threading.Event()
    world.step_data['stop_monitor'] = stop

    def monitor():
        while not stop.wait(0.05):
            for name in world.live_instances():
                try:
                    revision = cluster_steps.revision_at(world.cluster, name)
                except Exception:
                    continue
                key = (name, world.cluster.processes[name].popen.pid)
                if revision < world.step_data['revisions'].get(key, 0):
                    world.step_data['reverted'].append((name, revision))
                world.step_data['revisions'][key] = revision

    threading.Thread(target=monitor, daemon=True).start()


@then('no instance has reverted to an older revision')
def check_none_reverted(context):
    context.world.step_data['stop_monitor'].set()
    assert context.world.step_data['revisions'], 'no revision was read'
    assert not context.world.step_data['reverted'], context.world.step_data


@when('a change is published')
@then('a change is published')
def publish_change(context):
    world = context.world
    publish_count = world.step_data.get('publish_count', 0)
    done = world.cluster.publish(
        {world_module.LOOKUP_SERVICE: {'max_attempts': 2 + publish_count % 5}}
    )
    assert done.returncode == 0, done.stderr
    world.step_data['publish_count'] = publish_count + 1
    world.step_data['revision'] = int(done.stdout.split()[-1])


@then('within {seconds:g} s instance {name} has applied the change')
def check_instance_applied(context, seconds, name):
    cluster_steps.wait_revision(
        context, context.world.step_data['revision'], [name], seconds
    )


@then('within {seconds:g} s every instance has applied the change')
def check_all_applied(context, seconds):
    cluster_steps.wait_revision(
        context,
        context.world.step_data['revision'],
        context.world.live_instances(),
        seconds,
    )


@when('{count:d} changes are published')
def publish_many(context, count):
    for _ in range(count):
        publish_change(context)


@then('a publish against revision {base:d} is refused')
def check_stale_refused(context, base):
    done = context.world.cluster.publish(
        {world_module.LOOKUP_SERVICE: {'max_attempts': 4}}, base=base
    )
    assert done.returncode == 6, (done.returncode, done.stderr)


@when('operator {author} publishes and the append takes effect late')
def publish_with_late_append(context, author):
    context.world.step_data['late_publish'] = context.world.executor.submit(
        context.world.cluster.publish,
        {world_module.LOOKUP_SERVICE: {'max_attempts': 5}},
        author,
    )


@then('the publish is accepted once')
def check_accepted_once(context):
    done = context.world.step_data['late_publish'].result(timeout=60)
    assert done.returncode == 0, done.stderr
    history = context.world.cluster.command('settings', 'history').stdout
    assert history.count('max_attempts=5') == 1, history


@then('no older publish takes effect later')
def check_no_late_effect(context):
    cluster = context.world.cluster
    before = cluster.command('settings', 'show').stdout
    time.sleep(4)
    assert cluster.command('settings', 'show').stdout == before
