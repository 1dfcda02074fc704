"""Summarise samples of the last seconds in buckets of a fixed length."""

import collections
import math

BUCKET_S = 0.1
# Samples that are kept regardless of the window no longer count after this.
MAX_AGE_S = 60.0


class Bucket:
    """Hold the number and the sum of the samples of a short interval."""

    __slots__ = ('starts_at', 'total', 'samples')

    def __init__(self, starts_at: float) -> None:
        self.starts_at = starts_at
        self.total = 0.0
        self.samples = 0

    @property
    def mean(self) -> float:
        """Return the mean of the samples."""
        return self.total / self.samples


class Window:
    """Hold the samples of a window, and a few older ones if it has less."""

    def __init__(
        self,
        length_s: float,
        kept_samples: int = 0,
        half_life_s: float = math.inf,
    ) -> None:
        self._length_s = length_s
        self._kept_samples = kept_samples
        self._half_life_s = half_life_s
        self._buckets: collections.deque[Bucket] = collections.deque()
        self._samples = 0

    @property
    def newest_at(self) -> float:
        """Return the time of the newest bucket, -inf without samples."""
        return self._buckets[-1].starts_at if self._buckets else -math.inf

    @property
    def samples(self) -> int:
        """Return the number of samples."""
        return self._samples

    def add(self, value: float, now: float) -> None:
        """Add a sample."""
        newest = self._buckets[-1] if self._buckets else None
        if newest is None or now - newest.starts_at >= BUCKET_S:
            newest = Bucket(now)
            self._buckets.append(newest)
        newest.total += value
        newest.samples += 1
        self._samples += 1
        self._expire(now)

    def clear(self) -> None:
        """Forget all samples."""
        self._buckets.clear()
        self._samples = 0

    def span_s(self, now: float) -> float:
        """Return the time between the oldest and the newest recent sample."""
        self._expire(now)
        recent = [
            bucket.starts_at
            for bucket in self._buckets
            if now - bucket.starts_at <= self._length_s
        ]
        return recent[-1] - recent[0] if recent else 0.0

    def evidence(self, now: float) -> float:
        """Return the number of samples, discounted by their age."""
        self._expire(now)
        return sum(self._weight(bucket, now) for bucket in self._buckets)

    def quantile(self, share: float, now: float) -> float | None:
        """Return a weighted quantile of the buckets; None without samples."""
        self._expire(now)
        ranked = sorted(
            (bucket.mean, self._weight(bucket, now))
            for bucket in self._buckets
        )
        wanted = share * sum(weight for _, weight in ranked)
        for mean, weight in ranked:
            wanted -= weight
            if wanted <= 0:
                return mean
        return ranked[-1][0] if ranked else None

    def _weight(self, bucket: Bucket, now: float) -> float:
        age_s = now - bucket.starts_at
        return bucket.samples * 0.5 ** (age_s / self._half_life_s)

    def _expire(self, now: float) -> None:
        while self._buckets:
            oldest = self._buckets[0]
            age_s = now - oldest.starts_at
            if age_s <= self._length_s:
                return
            is_kept = self._samples - oldest.samples < self._kept_samples
            if is_kept and age_s <= MAX_AGE_S:
                return
            self._samples -= oldest.samples
            self._buckets.popleft()
