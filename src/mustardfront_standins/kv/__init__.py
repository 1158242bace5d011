"""Stand-in for the platform's key-value service: a subset of the etcd v3 gateway.

``POST /control/faults`` changes any of these settings and keeps the others:

- ``outage``: ``""`` (none), ``"unavailable"`` (503), ``"cut"`` (connections are closed
  without a response) or ``"hang"`` (no response); calls take no effect in an outage.
- ``delay_ms``: delay of each response.
- ``lose_answers``: number of next writes that take effect but get no response.
- ``lose_answer_probability`` and ``seed``: drop responses to writes at random.
- ``value_limit_bytes``: a larger value gets 400.
- ``reads_per_s``, ``writes_per_s`` (0: no limit): a call above the rate gets 429.

``POST /control/restore`` with ``age_s`` lets the store go back to its data of so long
ago; revisions since then are given out again.

``GET /control/calls`` returns the number of calls by kind since the start; an open
watch counts as one call. ``GET /control/faults`` returns the settings.
"""

from mustardfront_standins.kv._server import serve_kv
from mustardfront_standins.kv._store import Store

__all__ = ["Store", "serve_kv"]
