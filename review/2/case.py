"""A request in chunks on a removed route spoils the next one's answer."""

import threading
import time

from review.common import client
from review.common import harness
from standins.emulator import deployment

ARCHIVE = '/archive/'
CLIENTS = 8
LENGTH_S = 20.0
CHANGE_AT_S = 5.0
PAUSE_S = 0.25
# Between the head of a request and its body, which is being produced.
BODY_AFTER_S = 0.03
DEADLINE_S = 2.0
# The bounds of the rule DENIED.
FREE_DENIALS = 5
REQUESTS_PER_DENIAL = 500


def archive_route() -> dict:
    """Return the route that the operator removes."""
    return {
        'name': 'archive',
        'host': deployment.HOST,
        'path-prefix': ARCHIVE,
        'route-type': 'idempotent',
        'service': deployment.PLAIN_SERVICE,
        'timeout-ms': 2000,
        'target-latency-ms': 150,
        'attempts': 2,
    }


class Client(threading.Thread):
    """Sends to two routes in turn, on a kept channel."""

    def __init__(self, number, directories, record, ends_at):
        super().__init__(daemon=True)
        self._number = number
        self._directories = directories
        self._record = record
        self._ends_at = ends_at
        self._channel = None
        self._sent = 0
        # Status of each request on the route that stays; 0 if none came.
        self.lookups = []
        self.archived = []
        self.strays = 0

    def run(self):
        while time.monotonic() < self._ends_at:
            self.archived.append(self._send(f'{ARCHIVE}{self._sent}', True))
            self.lookups.append(
                self._send(f'{deployment.LOOKUPS}{self._sent}', False)
            )
            time.sleep(PAUSE_S)

    def _send(self, target, is_chunked):
        """Send one request, once; return the status of its answer."""
        self._sent += 1
        request = f'c{self._number}-{self._sent}'
        self._check_channel(request)
        start = client.head(
            'POST',
            target,
            deployment.HOST,
            {
                'X-Request-Id': request,
                'X-Deadline-Ms': str(int(DEADLINE_S * 1000)),
            },
        )
        body = b'peg order ' + request.encode()
        status, answer = 0, None
        try:
            if is_chunked:
                self._channel.send(
                    start + b'Transfer-Encoding: chunked\r\n\r\n'
                )
                time.sleep(BODY_AFTER_S)
                self._channel.send(client.chunks(body))
            else:
                self._channel.send(client.with_length(start, body))
            answer = self._channel.read_answer(time.monotonic() + DEADLINE_S)
            status = answer.status
        except (client.ChannelEnded, TimeoutError) as error:
            self._drop_channel()
            answer = error
        self._record.write(
            f'{request} POST {target} '
            f'{"in chunks" if is_chunked else "with a length"} -> {answer}'
        )
        if status and answer.headers.get('connection') == 'close':
            self._drop_channel()
        return status

    def _check_channel(self, request):
        """Replace a channel that has ended, or has bytes nobody asked for."""
        if self._channel is not None and self._channel.has_input():
            self._record.write(
                f'{request} finds bytes or an end on its idle channel'
            )
            self.strays += 1
            self._drop_channel()
        while self._channel is None:
            addresses = client.resolve(self._directories, deployment.HOST)
            if addresses:
                address = addresses[self._number % len(addresses)]
                self._channel = client.Channel(address)

    def _drop_channel(self):
        if self._channel is not None:
            self._channel.close()
            self._channel = None


def case(record, has_trouble):
    """Return whether no more proper requests were denied than allowed."""
    with harness.Deployment() as cluster:
        cluster.start(instances=2, samplers=1, plain_services=2)
        stays = deployment.routes()
        cluster.operator.publish(
            [*stays, archive_route()], deployment.services()
        )
        time.sleep(3.0)
        ends_at = time.monotonic() + LENGTH_S
        directories = [i.entries_address for i in cluster.instances]
        clients = [
            Client(n, directories, record, ends_at) for n in range(CLIENTS)
        ]
        for each in clients:
            each.start()
        time.sleep(CHANGE_AT_S)
        if has_trouble:
            cluster.operator.publish(stays, deployment.services())
            record.say('the operator removes the route /archive/')
        for each in clients:
            each.join()
        runs = len(cluster.recorder.runs)
    lookups = [status for each in clients for status in each.lookups]
    archived = [status for each in clients for status in each.archived]
    denied = sum(400 <= s < 500 and s not in (408, 421, 429) for s in lookups)
    total = len(lookups) + len(archived)
    allowed = FREE_DENIALS + total / REQUESTS_PER_DENIAL
    record.say(f'{total} requests, {runs} run by servers')
    record.say(f'on the removed route: {count(archived)}')
    record.say(f'on the route that stays: {count(lookups)}')
    record.say(
        f'idle channels with an end or bytes: {sum(c.strays for c in clients)}'
    )
    record.say(
        f'DENIED: {denied} proper requests were ended with a 4xx,'
        f' {allowed:.1f} are allowed'
    )
    if len(lookups) < 100 or not has_trouble and min(lookups) != 200:
        raise RuntimeError('too little was served to judge')
    return denied <= allowed


def count(statuses):
    """Return how often each status came."""
    return {status: statuses.count(status) for status in sorted(set(statuses))}


if __name__ == '__main__':
    harness.run(__file__, case)
