"""A sampler goes dark within streams; their clients are kept waiting."""

import random
import socket
import threading
import time
import typing

from review.common import client
from review.common import harness
from standins import relay
from standins.emulator import deployment
from standins.emulator import serving

DRAFTS = '/drafts-once/'
SAMPLERS = 6
CLIENTS = 114
LENGTH_S = 24.0
DARK_AT_S = 8.0
# The longest of the site: `srv_crash`, dark, one sampler of six for 4.5 s.
DARK_FOR_S = 4.5
# Three heartbeats of silence remove an entry.
LAPSE_S = 3.6
TIMEOUT_MS = 3000
TARGET_MS = 1000
DEADLINE_MS = 8000
# Clients leave a stream after a gap of four times the objective.
GAP_S = 4.0
AFTER_TIMEOUT_S = 0.5
SLOW_FACTOR = 10.0
SLOTS = 32


class Sent(typing.NamedTuple):
    """A stream, and when its channel showed the end of its answer."""

    request: str
    sent_at: float
    # Infinite if the client left first.
    ended_after_s: float
    events: int
    outcome: str


class Client(threading.Thread):
    """Asks for one stream after another, each on a new channel."""

    def __init__(self, number, addresses, record, ends_at):
        super().__init__(daemon=True)
        self._number = number
        self._addresses = addresses
        self._record = record
        self._ends_at = ends_at
        self._rng = random.Random(number)
        self.sent = []

    def run(self):
        time.sleep(self._rng.uniform(0, 1.0))
        while time.monotonic() < self._ends_at:
            sent = self._stream()
            self.sent.append(sent)
            self._record.write(
                f'{sent.request}: {sent.outcome} after {sent.events} events,'
                f' ended after {sent.ended_after_s:.3f} s'
            )
            time.sleep(0.1)

    def _stream(self):
        request = f's{self._number}-{len(self.sent)}'
        address = self._addresses[self._number % len(self._addresses)]
        host, _, port = address.rpartition(':')
        sent_at = time.monotonic()
        received = b''
        outcome = 'left'
        ended_after_s = float('inf')
        try:
            with socket.create_connection((host, int(port)), 1.0) as sock:
                sock.sendall(self._request(request))
                while True:
                    remaining_s = sent_at + DEADLINE_MS / 1000
                    remaining_s -= time.monotonic()
                    if remaining_s <= 0:
                        break
                    sock.settimeout(min(GAP_S, remaining_s))
                    data = sock.recv(65536)
                    received += data
                    if not data or _is_whole(received):
                        ended_after_s = time.monotonic() - sent_at
                        outcome = _outcome(received)
                        break
        except TimeoutError:
            pass
        except OSError as error:
            ended_after_s = time.monotonic() - sent_at
            outcome = repr(error)
        return Sent(
            request, sent_at, ended_after_s, received.count(b'\nid: '), outcome
        )

    def _request(self, request):
        return client.with_length(
            client.head(
                'POST',
                f'{DRAFTS}{request}',
                deployment.HOST,
                {
                    'X-Request-Id': request,
                    'X-Deadline-Ms': str(DEADLINE_MS),
                    'X-Model': deployment.MODEL,
                    'X-Token-Count': '16,100',
                    'Connection': 'close',
                },
            ),
            b'draft',
        )


def _is_whole(received):
    head, _, body = received.partition(b'\r\n\r\n')
    _, length, rest = head.partition(b'Content-Length: ')
    if length:
        return len(body) >= int(rest.split(b'\r\n')[0])
    if b'chunked' in head:
        return body.endswith(b'\r\n0\r\n\r\n') or body == b'0\r\n\r\n'
    return False


def _outcome(received):
    status = received.split(b' ', 2)[1:2]
    if not status:
        return 'channel closed'
    whole = 'whole' if _is_whole(received) else 'cut'
    return f'{status[0].decode()} {whole}'


def route():
    """Return a streaming route whose streams must not be resumed."""
    return {
        'name': 'drafts-once',
        'host': deployment.HOST,
        'path-prefix': DRAFTS,
        'route-type': 'streaming',
        'service': deployment.MODEL_SERVICE,
        'timeout-ms': TIMEOUT_MS,
        'target-latency-ms': TARGET_MS,
        'attempts': 2,
    }


class DarkSampler:
    """A sampler behind a link that can be silenced."""

    def __init__(self, cluster):
        sampler = cluster.samplers[0]
        self._link = relay.Relay(
            serving.ADDRESS,
            serving.free_port(),
            (serving.ADDRESS, sampler.port),
        )
        address = self._link.url.removeprefix('http://')
        own = serving.address_of(sampler.server)
        self._id = sampler.id
        self._produce = produce = cluster.store.produce

        def produce_behind_link(topic, key, value):
            if key == sampler.id:
                value = value.replace(own.encode(), address.encode())
                if self.is_dark:
                    return
            produce(topic, key, value)

        self.is_dark = False
        cluster.store.produce = produce_behind_link

    def go_dark(self):
        """Send nothing any more; no heartbeat either."""
        self.is_dark = True
        self._link.hold()
        threading.Timer(LAPSE_S, self._lapse).start()

    def _lapse(self):
        if self.is_dark:
            self._produce('keyed.servers', self._id, b'')

    def come_back(self):
        """Start again: what was open is reset."""
        self._link.cut()
        self._link.restore()
        self.is_dark = False


def case(record, has_trouble):
    """Return whether streams had their final answers in time."""
    with harness.Deployment() as cluster:
        cluster.start(instances=3, samplers=SAMPLERS, plain_services=1)
        for sampler in cluster.samplers:
            sampler.slow_factor = SLOW_FACTOR
            sampler._slots = SLOTS
        dark = DarkSampler(cluster)
        cluster.operator.publish(
            [*deployment.routes(), route()], deployment.services()
        )
        time.sleep(4.0)
        began_at = time.monotonic()
        clients = [
            Client(n, cluster.addresses(), record, began_at + LENGTH_S)
            for n in range(CLIENTS)
        ]
        for each in clients:
            each.start()
        time.sleep(DARK_AT_S)
        if has_trouble:
            dark.go_dark()
            record.say('one sampler of six goes dark')
        time.sleep(DARK_FOR_S)
        if has_trouble:
            dark.come_back()
            record.say('it is back')
        for each in clients:
            each.join()
    sent = [s for each in clients for s in each.sent]
    whole = [s for s in sent if s.outcome == '200 whole']
    longer = [s for s in sent if s.ended_after_s > TIMEOUT_MS / 1000]
    late = [
        s
        for s in longer
        if s.ended_after_s > TIMEOUT_MS / 1000 + AFTER_TIMEOUT_S
    ]
    record.say(f'{len(sent)} streams, {len(whole)} whole')
    record.say(
        f'CONFIG: {len(longer)} lasted longer than timeout-ms,'
        f' {len(late)} of them had no final answer 0.5 s after it'
    )
    for each in late[:5]:
        record.say(f'for example {each.request}: {each.outcome},'
                   f' {each.events} events, {each.ended_after_s:.2f} s')
    if len(whole) < 100:
        raise RuntimeError('too little was served to judge')
    return len(late) < 8 or len(late) <= len(longer) / 4


if __name__ == '__main__':
    harness.run(__file__, case)
