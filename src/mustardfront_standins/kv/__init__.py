"""Stand-in for the platform's key-value service: a subset of the etcd v3 gateway.

``POST /control/faults`` sets any of these, and leaves the rest as they were:

- ``outage``: ``""`` (none), ``"unavailable"`` (503), ``"cut"`` (connections closed
  without an answer) or ``"hang"`` (never an answer); calls take no effect then.
- ``delay_ms``: each answer is this late.
- ``lose_answers``: how many of the next writes take effect without an answer.
- ``lose_answer_probability`` and ``seed``: the same at random.
- ``value_limit_bytes``, ``reads_per_s``, ``writes_per_s`` (0: no limit): a larger value
  gets 400, a call over a rate 429.

``GET /control/calls`` returns the calls by kind since the start; a waiting watch counts
as one. ``GET /control/faults`` returns the settings.
"""

from mustardfront_standins.kv._server import serve_kv
from mustardfront_standins.kv._store import Store

__all__ = ["Store", "serve_kv"]
