"""Emulate the instance list at Consul's health endpoint.

Faults: down, lag_s (delay until a change is visible).
"""

import time

from . import base

POLL_INTERVAL_S = 0.1


class InstanceListService(base.StandIn):
    """Store registrations; changes become visible after the lag."""

    def __init__(self) -> None:
        super().__init__()
        self._services: dict[str, dict[str, object]] = {}
        self._indexes: dict[str, int] = {}
        self._pending: list[tuple[float, str, str, object]] = []
        self.add_route('GET', '/v1/health/service/([^/]+)', self._list)
        self.add_route('PUT', '/register/([^/]+)/([^/]+)', self._register)
        self.add_route('DELETE', '/register/([^/]+)/([^/]+)', self._deregister)

    def _list(self, request: base.Request, service: str) -> base.Reply:
        known_index = int(request.query.get('index', 0))
        wait_s = float(request.query.get('wait', '0s').rstrip('s'))
        deadline = time.monotonic() + wait_s
        while not self.fault('down') and time.monotonic() < deadline:
            if self._current_index(service) != known_index:
                break
            time.sleep(POLL_INTERVAL_S)
        if self.fault('down'):
            return base.Reply({'message': 'unavailable'}, 503)
        with self.lock:
            index = self._current_index(service)
            entries = list(self._services.get(service, {}).values())
            headers = (('X-Consul-Index', str(index)),)
            return base.Reply(entries, headers=headers)

    def _current_index(self, service: str) -> int:
        with self.lock:
            self._apply_due_changes()
            return self._indexes.get(service, 1)

    def _register(
        self, request: base.Request, service: str, instance: str
    ) -> base.Reply:
        return self._change(service, instance, request.json())

    def _deregister(
        self, _request: base.Request, service: str, instance: str
    ) -> base.Reply:
        return self._change(service, instance, None)

    def _change(
        self, service: str, instance: str, entry: object
    ) -> base.Reply:
        with self.lock:
            due_at = time.monotonic() + self.fault('lag_s')
            self._pending.append((due_at, service, instance, entry))
        return base.Reply({})

    def _apply_due_changes(self) -> None:
        now = time.monotonic()
        pending = []
        for change in self._pending:
            due_at, service, instance, entry = change
            if due_at > now:
                pending.append(change)
                continue
            self._indexes[service] = self._indexes.get(service, 1) + 1
            if entry is None:
                self._services.get(service, {}).pop(instance, None)
            else:
                self._services.setdefault(service, {})[instance] = entry
        self._pending = pending


if __name__ == '__main__':
    options = base.parser().parse_args()
    base.serve(InstanceListService(), options.address, options.port)
