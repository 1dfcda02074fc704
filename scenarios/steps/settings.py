"""Publish settings and check that they are in force."""

import threading
import time

from behave import then
from behave import when

from scenarios.steps import cluster as cluster_steps
from scenarios import world as world_module


@when('operators {first} and {second} publish against the same revision')
def race(context, first, second):
    cluster = context.world.cluster
    base = cluster_steps.revision_at(cluster, context.world.live()[0])
    futures = [
        context.world.pool.submit(
            cluster.publish,
            {world_module.LOOKUPS: {'max_attempts': number + 1}},
            author,
            base,
        )
        for number, author in enumerate((first, second))
    ]
    context.world.notes['race'] = [f.result(timeout=60) for f in futures]
    context.world.notes['base'] = base


@then('exactly one is accepted and the other is told who won')
def one_accepted(context):
    codes = sorted(done.returncode for done in context.world.notes['race'])
    assert codes == [0, 6], [d.stderr for d in context.world.notes['race']]
    loser = next(d for d in context.world.notes['race'] if d.returncode)
    assert 'published by' in loser.stderr, loser.stderr


@then('within {seconds:g} s all instances have the same settings')
def same_settings(context, seconds):
    cluster = context.world.cluster
    goal = context.world.notes['base'] + 1

    def same():
        found = {
            (status['settings_revision'], status['settings_digest'])
            for status in (
                cluster.call(name, 'GET', '/v1/status')
                for name in context.world.live()
            )
        }
        return len(found) == 1 and found.pop()[0] >= goal

    cluster.wait(same, 'all instances have the same settings', seconds)


@then('the audit trail shows both publishes')
def audit_both(context):
    done = context.world.cluster.command('settings', 'history')
    assert done.stdout.count('accepted as revision') >= 2, done.stdout
    assert done.stdout.count('refused: based on revision') == 1, done.stdout


@when('the revisions of all instances are watched')
def watch_revisions(context):
    world = context.world
    world.notes['seen'] = {}
    world.notes['reverted'] = []
    stop = threading.Event()
    world.notes['watch'] = stop

    def watch():
        while not stop.wait(0.05):
            for name in world.live():
                try:
                    revision = cluster_steps.revision_at(world.cluster, name)
                except Exception:
                    continue
                key = (name, world.cluster.processes[name].popen.pid)
                if revision < world.notes['seen'].get(key, 0):
                    world.notes['reverted'].append((name, revision))
                world.notes['seen'][key] = revision

    threading.Thread(target=watch, daemon=True).start()


@then('no instance has gone back to an older revision')
def none_reverted(context):
    context.world.notes['watch'].set()
    assert context.world.notes['seen'], 'nothing was watched'
    assert not context.world.notes['reverted'], context.world.notes


@when('a change is published')
@then('a change is published')
def publish_change(context):
    world = context.world
    before = world.notes.get('published', 0)
    done = world.cluster.publish(
        {world_module.LOOKUPS: {'max_attempts': 2 + before % 5}}
    )
    assert done.returncode == 0, done.stderr
    world.notes['published'] = before + 1
    world.notes['revision'] = int(done.stdout.split()[-1])


@then('within {seconds:g} s instance {name} has the change in force')
def one_has_change(context, seconds, name):
    cluster_steps.wait_revision(
        context, context.world.notes['revision'], [name], seconds
    )


@then('within {seconds:g} s every instance has the change in force')
def all_have_change(context, seconds):
    cluster_steps.wait_revision(
        context, context.world.notes['revision'], context.world.live(), seconds
    )


@when('{count:d} changes are published')
def publish_many(context, count):
    for _ in range(count):
        publish_change(context)


@then('a publish against revision {base:d} is refused')
def stale_refused(context, base):
    done = context.world.cluster.publish(
        {world_module.LOOKUPS: {'max_attempts': 4}}, base=base
    )
    assert done.returncode == 6, (done.returncode, done.stderr)


@when('operator {author} publishes and the append is lost on the way')
def publish_unsettled(context, author):
    context.world.notes['unsettled'] = context.world.pool.submit(
        context.world.cluster.publish,
        {world_module.LOOKUPS: {'max_attempts': 5}},
        author,
    )


@then('the publish is accepted once')
def accepted_once(context):
    done = context.world.notes['unsettled'].result(timeout=60)
    assert done.returncode == 0, done.stderr
    history = context.world.cluster.command('settings', 'history').stdout
    assert history.count('max_attempts=5') == 1, history


@then('no older publish takes effect later')
def no_late_effect(context):
    cluster = context.world.cluster
    before = cluster.command('settings', 'show').stdout
    time.sleep(4)
    assert cluster.command('settings', 'show').stdout == before
