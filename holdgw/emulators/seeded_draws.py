"""Random numbers derived from names, not from the order of events.

The same seed gives the same run on any machine. A generator shared by all requests would assign its numbers
in order of arrival, and a run that was a millisecond slower would differ. Here each number is a hash of its
own name: the seed, its purpose and the request to which it belongs.
"""

from __future__ import annotations

import math
from hashlib import blake2b
from statistics import NormalDist

_STEPS = float(1 << 53)
_NORMAL = NormalDist()
_MIN_QUANTILE = 1e-9  # the inverse of the normal distribution function is infinite at 0 and 1

NamePart = str | int | bytes


def unit(*name: NamePart) -> float:
    """Return the number in [0, 1) that belongs to this name."""
    text = b"\x1f".join(word if isinstance(word, bytes) else str(word).encode() for word in name)
    return (int.from_bytes(blake2b(text, digest_size=8).digest(), "big") >> 11) / _STEPS


def lognormal(u: float, mean: float, cv: float) -> float:
    """Return the quantile `u` of a lognormal distribution with this mean and coefficient of variation."""
    if cv <= 0:
        return mean
    variance = math.log1p(cv * cv)
    normal = _NORMAL.inv_cdf(min(max(u, _MIN_QUANTILE), 1 - _MIN_QUANTILE))
    return math.exp(math.log(mean) - variance / 2 + math.sqrt(variance) * normal)


def between(u: float, span: tuple[float, float]) -> float:
    """Return the quantile `u` of the uniform distribution over `span`."""
    return span[0] + u * (span[1] - span[0])
