"""Run a trainer and check its samples."""

from behave import then
from behave import when

from scenarios.steps import cluster as cluster_steps
from standins import trainer as trainer_module


@when('a trainer runs {steps:d} steps of {groups:d} groups of {samples:d}')
def run_steps(context, steps, groups, samples):
    start_steps(context, steps, groups, samples)
    finish_steps(context)


@when('a trainer starts {steps:d} steps of {groups:d} groups of {samples:d}')
def start_steps(context, steps, groups, samples):
    trainer = context.world.new_trainer()
    schedule = trainer_module.Schedule(steps, groups, samples, 30, 0.2)
    context.world.background.append(
        context.world.pool.submit(
            trainer_module.run_schedule, trainer, schedule
        )
    )


@when('the trainer has finished')
def finish_steps(context):
    for future in context.world.background:
        future.result(timeout=90)


@when('the trainer has {count:d} samples')
def wait_samples(context, count):
    trainer = context.world.trainer
    context.world.cluster.wait(
        lambda: len(trainer.received) >= count, f'{count} samples', 60
    )


@when("the trainer's owner is killed")
def kill_owner(context):
    context.world.cluster.processes[context.world.trainer_owner()].kill()


@when("the trainer's owner is frozen")
def freeze_owner(context):
    owner = context.world.trainer_owner()
    context.world.notes['owner'] = owner
    cluster_steps.freeze(context, owner)


@when('the frozen owner wakes')
def wake_owner(context):
    cluster_steps.wake(context, context.world.notes['owner'])


@when('a pull is answered and its answer is lost with the owner')
def lose_pull(context):
    """Pull a first batch, drop the answer, and kill the owner."""
    world = context.world
    trainer = world.new_trainer()
    groups = trainer.make_groups(1, 8, 4, 30)
    trainer.announce(1)
    trainer.open_step(1, groups)
    lost = trainer._call(
        'POST',
        'steps/1/pull',
        {'cursor': '', 'version': 1, 'wait_s': 5, 'max_groups': 4},
    )
    assert lost['groups'], lost
    world.cluster.processes[world.trainer_owner()].kill()
    trainer.pull_step(1, groups)


@then('the trainer has every sample exactly once')
def exactly_once(context):
    report = context.world.trainer.report()
    assert report.doubled == 0 and report.missing == 0, report
    assert report.samples > 0, report


@then('every sample names the versions that its text tells of')
def true_labels(context):
    entries = context.world.trainer.received
    wrong = [
        entry
        for entry in entries
        if entry.generating_versions != set(entry.weight_versions)
    ]
    assert entries and not wrong, wrong[:3]


@then('some sample names more than one version')
def mixed_labels(context):
    entries = context.world.trainer.received
    assert any(len(entry.weight_versions) > 1 for entry in entries)


@then('no sample lags more than {bound:d} versions')
def check_lag(context, bound):
    entries = context.world.trainer.received
    late = [entry for entry in entries if entry.lag > bound]
    assert entries and not late, late[:3]


@then('within {seconds:g} s every engine has version {version:d}')
def engines_have(context, seconds, version):
    cluster = context.world.cluster
    for index in range(3):
        name = f'peg-sizing-{index}'
        cluster.wait(
            lambda name=name: (
                cluster.call(name, 'GET', '/server_info')['weight_version']
                == str(version)
            ),
            f'{name} has version {version}',
            seconds,
        )


@when('version {version:d} is announced')
def announce(context, version):
    trainer = context.world.trainer or context.world.new_trainer()
    trainer.announce(version)


@then('no engine took an order with an older fence after a newer one')
def fences_in_order(context):
    for index in range(3):
        shown = context.world.cluster.call(
            f'peg-sizing-{index}', 'GET', '/statistics'
        )
        orders = shown['orders']
        fences = [order['fence'] for order in orders]
        assert fences == sorted(fences), fences


@when('the holder of the weight lease is {fault}')
def fault_holder(context, fault):
    world = context.world
    name = None

    def found():
        nonlocal name
        name = cluster_steps.holder(context)
        return name is not None

    world.cluster.wait(found, 'an instance holds the weight lease')
    world.notes['holder'] = name
    if fault == 'frozen':
        cluster_steps.freeze(context, name)
    else:
        world.cluster.processes[name].kill()


@when('another instance holds the weight lease')
def other_holder(context):
    context.world.cluster.wait(
        lambda: (
            cluster_steps.holder(context)
            not in (
                None,
                context.world.notes['holder'],
            )
        ),
        'another instance holds the weight lease',
    )


@when('the former holder wakes')
def wake_holder(context):
    cluster_steps.wake(context, context.world.notes['holder'])


@then('within {seconds:g} s one instance holds the weight lease')
def one_holder(context, seconds):
    cluster = context.world.cluster

    def holders():
        return [
            name
            for name in context.world.live()
            if cluster.call(name, 'GET', '/v1/status')['weight_leases']
        ]

    cluster.wait(lambda: len(holders()) == 1, 'one holder', seconds)


@when('a step is generated, and the trainer moves on before it pulls')
def move_on(context):
    """Let all samples be ready at version 1, then pull at version 2."""
    world = context.world
    trainer = world.new_trainer()
    groups = trainer.make_groups(1, 6, 4, 30)
    trainer.announce(1)
    trainer.open_step(1, groups)
    world.cluster.wait(
        lambda: (
            sum(
                world.cluster.counter(name, 'rollout.samples_committed')
                for name in world.live()
            )
            >= 24
        ),
        'all samples are ready',
    )
    trainer.announce(2)
    trainer.pull_step(1, groups)
