"""Emulate the rate-limited weight store.

Faults: down.
"""

import time

from . import base


class WeightStore(base.StandIn):
    """Serve weights with a token bucket; answer 429 above the rate."""

    def __init__(self, per_second: float) -> None:
        super().__init__()
        self._per_second = per_second
        self._tokens = per_second
        self._refilled_at = time.monotonic()
        self.add_route('GET', '/weights/(.+)', self._fetch)

    def _fetch(self, _request: base.Request, name: str) -> base.Reply:
        if self.fault('down'):
            return base.Reply({'message': 'unavailable'}, 503)
        with self.lock:
            now = time.monotonic()
            elapsed_s = now - self._refilled_at
            self._refilled_at = now
            self._tokens = min(
                self._per_second, self._tokens + elapsed_s * self._per_second
            )
            if self._tokens < 1:
                return base.Reply(
                    {'message': 'too many requests'},
                    429,
                    (('Retry-After', '1'),),
                )
            self._tokens -= 1
        return base.Reply({'name': name})


if __name__ == '__main__':
    arguments = base.parser()
    arguments.add_argument('--per-second', type=float, default=5.0)
    options = arguments.parse_args()
    base.serve(WeightStore(options.per_second), options.address, options.port)
