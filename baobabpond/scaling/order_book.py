"""Track which orders of upstreams have to be sent, and when."""

from ..ports import control

from . import allocation

INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0
# Pause after an order that the platform rejects, as a repeat fails as well.
REJECTED_BACKOFF_S = 10.0
# A call without an answer may be executed this much later, in place of what
# was ordered meanwhile; the order in force is repeated then.
LATE_S = 10.0


class _PoolOrder:
    """Track the order of one pool."""

    def __init__(self, acknowledged: int) -> None:
        # None if the last call had no answer.
        self.acknowledged: int | None = acknowledged
        self.not_before = float('-inf')
        self.backoff_s = INITIAL_BACKOFF_S
        # When a call without an answer can no longer take effect.
        self.repeat_at: float | None = None


class OrderBook:
    """Compare decided counts with those that the platform has confirmed.

    A new holder of the duty assumes that the serving upstreams are those that
    were ordered, and sends an order only to change that.
    """

    def __init__(
        self, service: str, serving: allocation.Counts, lease_s: float
    ) -> None:
        self._service = service
        self._lease_s = lease_s
        self._serving = dict(serving)
        self._orders: dict[allocation.Pool, _PoolOrder] = {}

    def due(
        self, decided: allocation.Counts, now: float
    ) -> list[control.UpstreamOrder]:
        """Return the orders to send now; increases come first."""
        due = []
        for pool, count in decided.items():
            order = self._order(pool)
            if order.not_before > now:
                continue
            is_changed = order.acknowledged != count
            has_settled = (
                order.repeat_at is not None and order.repeat_at <= now
            )
            if is_changed or has_settled:
                is_increase = count > (order.acknowledged or 0)
                due.append((not is_increase, pool, count))
        return [
            control.UpstreamOrder(
                self._service, pool.data_centre, count, pool.is_spot
            )
            for _, pool, count in sorted(due)
        ]

    def record(
        self,
        sent: control.UpstreamOrder,
        outcome: control.Outcome,
        now: float,
    ) -> None:
        """Record the outcome of an order that was sent."""
        order = self._order(allocation.Pool(sent.data_centre, sent.is_spot))
        if outcome is control.Outcome.DONE:
            order.acknowledged = sent.count
            order.backoff_s = INITIAL_BACKOFF_S
            if order.repeat_at is not None and order.repeat_at <= now:
                order.repeat_at = None
            return
        if outcome is control.Outcome.UNKNOWN:
            order.acknowledged = None
            order.repeat_at = now + LATE_S
        order.not_before = now + self._backoff_s(order, outcome)

    def _order(self, pool: allocation.Pool) -> _PoolOrder:
        return self._orders.setdefault(
            pool, _PoolOrder(self._serving.get(pool, 0))
        )

    def _backoff_s(self, order: _PoolOrder, outcome: control.Outcome) -> float:
        if outcome is control.Outcome.UNAVAILABLE:
            return max(self._lease_s, MAX_BACKOFF_S)
        if outcome is control.Outcome.REJECTED:
            return REJECTED_BACKOFF_S
        backoff_s = order.backoff_s
        order.backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)
        return backoff_s
