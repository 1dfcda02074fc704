"""Emulate a plain service that counts the executions of each order.

Faults: slow (factor), refuse (status), lose_answers (count), cut (count),
crossed (count; the answer has the ID of another request), no_length
(count).
"""

import threading
import time

from . import base


class PlainService(base.StandIn):
    """Run a limited number of requests concurrently; the others wait."""

    def __init__(self, workers: int, work_s: float) -> None:
        super().__init__()
        self._workers = workers
        self._work_s = work_s
        self._worker_released = threading.Condition(self.lock)
        self._running = 0
        self._waiting = 0
        self._executions: dict[str, int] = {}
        self._started: dict[str, int] = {}
        self.add_route('POST', '/orders', self._run)
        self.add_route('GET', '/load', self._load)
        self.add_route('GET', '/executions', self._show_executions)

    def _run(self, request: base.Request) -> base.Reply:
        if self.fault('refuse'):
            return base.Reply(
                {'message': 'refused'}, int(self.fault('refuse'))
            )
        order = str(request.json().get('order'))
        with self._worker_released:
            self._started[order] = self._started.get(order, 0) + 1
            self._waiting += 1
            self._worker_released.wait_for(
                lambda: self._running < self._workers
            )
            self._waiting -= 1
            self._running += 1
        try:
            time.sleep(self._work_s * (self.fault('slow') or 1))
            with self.lock:
                self._executions[order] = self._executions.get(order, 0) + 1
        finally:
            with self._worker_released:
                self._running -= 1
                self._worker_released.notify_all()
        return self._reply(request, order)

    def _reply(self, request: base.Request, order: str) -> base.Reply:
        if self.consume_fault('lose_answers') or self.consume_fault('cut'):
            raise base.CutError
        request_id = request.headers['x-request-id']
        if self.consume_fault('crossed'):
            request_id, order = 'another', 'another'
        return base.Reply(
            {'order': order, 'filler': 'x' * 200},
            headers=(('X-Request-Id', request_id),),
        )

    def _load(self, _request: base.Request) -> base.Reply:
        return base.Reply({'running': self._running, 'waiting': self._waiting})

    def _show_executions(self, _request: base.Request) -> base.Reply:
        with self.lock:
            return base.Reply(
                {'finished': self._executions, 'started': self._started}
            )


if __name__ == '__main__':
    arguments = base.parser()
    arguments.add_argument('--workers', type=int, default=8)
    arguments.add_argument('--work-s', type=float, default=0.01)
    options = arguments.parse_args()
    base.serve(
        PlainService(options.workers, options.work_s),
        options.address,
        options.port,
    )
