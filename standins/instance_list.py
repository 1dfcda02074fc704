"""Stand in for the instance list, at Consul's health endpoint.

Faults: down, lag_s (changes show up late).
"""

import time

from . import base

CHECK_S = 0.1


class InstanceListService(base.StandIn):
    """Keep what has been registered, and show it with a lag."""

    def __init__(self) -> None:
        super().__init__()
        self._services: dict[str, dict[str, object]] = {}
        self._indexes: dict[str, int] = {}
        self._changes: list[tuple[float, str, str, object]] = []
        self.route('GET', '/v1/health/service/([^/]+)', self._list)
        self.route('PUT', '/register/([^/]+)/([^/]+)', self._register)
        self.route('DELETE', '/register/([^/]+)/([^/]+)', self._deregister)

    def _list(self, request: base.Request, service: str) -> base.Reply:
        seen = int(request.query.get('index', 0))
        wait_s = float(request.query.get('wait', '0s').rstrip('s'))
        deadline = time.monotonic() + wait_s
        while not self.fault('down') and time.monotonic() < deadline:
            if self._index(service) != seen:
                break
            time.sleep(CHECK_S)
        if self.fault('down'):
            return base.Reply({'message': 'unavailable'}, 503)
        with self.lock:
            index = self._index(service)
            entries = list(self._services.get(service, {}).values())
            headers = (('X-Consul-Index', str(index)),)
            return base.Reply(entries, headers=headers)

    def _index(self, service: str) -> int:
        with self.lock:
            self._settle()
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
            due = time.monotonic() + self.fault('lag_s')
            self._changes.append((due, service, instance, entry))
        return base.Reply({})

    def _settle(self) -> None:
        now = time.monotonic()
        waiting = []
        for change in self._changes:
            due, service, instance, entry = change
            if due > now:
                waiting.append(change)
                continue
            self._indexes[service] = self._indexes.get(service, 1) + 1
            if entry is None:
                self._services.get(service, {}).pop(instance, None)
            else:
                self._services.setdefault(service, {})[instance] = entry
        self._changes = waiting


if __name__ == '__main__':
    options = base.parser().parse_args()
    base.serve(InstanceListService(), options.address, options.port)
