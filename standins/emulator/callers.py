"""Emulate callers that send at a fixed rate, however long responses take."""

import threading
import time
import typing
import uuid

from . import clients
from . import deployment as deployment_module
from . import outputs
from . import streams

DEADLINE_S = 2.0
LOOKUP = 'lookup'
ENTRY = 'entry'
STREAM = 'stream'
# Kinds of requests in the order in which callers send them.
KINDS = (LOOKUP, ENTRY, LOOKUP, STREAM)
TARGETS = {
    LOOKUP: deployment_module.LOOKUPS,
    ENTRY: deployment_module.ENTRIES,
}
SUCCESS = 200


class Try(typing.NamedTuple):
    """A request that a caller sent once, and how it ended."""

    request_id: str
    instance: str
    kind: str
    sent_at: float
    # Status 0 if there was no response.
    status: int
    # The response is whole, and is the one to this request.
    is_served: bool


class Callers:
    """Send requests of all kinds to each instance, without retries."""

    def __init__(
        self, instances: list[deployment_module.Instance], interval_s: float
    ) -> None:
        self._instances = instances
        self._interval_s = interval_s
        self._client = clients.Client()
        self._lock = threading.Lock()
        self._threads: list[threading.Thread] = []
        self.tries: list[Try] = []

    def run(self, seconds: float) -> None:
        """Send for a time, then wait for the responses."""
        started_at = time.monotonic()
        rounds = int(seconds / self._interval_s)
        for number in range(rounds):
            due_at = started_at + number * self._interval_s
            time.sleep(max(0.0, due_at - time.monotonic()))
            kind = KINDS[number % len(KINDS)]
            for instance in self._instances:
                self._start(instance, kind)
        for thread in self._threads:
            thread.join()
        self._threads.clear()

    def tries_since(self, since: float) -> list[Try]:
        """Return the tries that were sent from a moment on."""
        with self._lock:
            return [each for each in self.tries if each.sent_at >= since]

    def _start(self, instance: deployment_module.Instance, kind: str) -> None:
        thread = threading.Thread(
            target=self._send, args=(instance, kind), daemon=True
        )
        thread.start()
        self._threads.append(thread)

    def _send(self, instance: deployment_module.Instance, kind: str) -> None:
        request_id = f'{kind}-{uuid.uuid4().hex[:12]}'
        sent_at = time.monotonic()
        if kind == STREAM:
            status, is_served = self._stream(instance, request_id)
        else:
            status, is_served = self._request(instance, kind, request_id)
        result = Try(
            request_id, instance.name, kind, sent_at, status, is_served
        )
        with self._lock:
            self.tries.append(result)

    def _stream(
        self, instance: deployment_module.Instance, request_id: str
    ) -> tuple[int, bool]:
        client = streams.StreamClient(
            request_id, deployment_module.HOST, deployment_module.MODEL
        )
        status = client.send(instance.address, deployment_module.STREAMS)
        return status, client.is_complete and client.is_gapless

    def _request(
        self,
        instance: deployment_module.Instance,
        kind: str,
        request_id: str,
    ) -> tuple[int, bool]:
        response = self._client.send(
            instance.address,
            'POST',
            f'{TARGETS[kind]}{request_id}',
            {
                'Host': deployment_module.HOST,
                'X-Request-Id': request_id,
                'X-Deadline-Ms': str(int(DEADLINE_S * 1000)),
            },
            b'x',
            timeout_s=DEADLINE_S,
        )
        whole = outputs.plain_response(request_id, b'x')
        is_served = response.status == SUCCESS and response.body == whole
        return response.status, is_served
