"""JSON calls of the etcd v3 gateway."""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections.abc import Callable
from typing import Any, Final, TypeAlias

from mustardfront_standins.kv._store import Change, Entry, Store

Json: TypeAlias = dict[str, Any]
# gRPC status codes, as used in the error bodies of the gateway.
INVALID_ARGUMENT: Final = 3
NOT_FOUND: Final = 5
RESOURCE_EXHAUSTED: Final = 8
UNAVAILABLE: Final = 14
HTTP_STATUS: Final = {
    INVALID_ARGUMENT: 400,
    NOT_FOUND: 404,
    RESOURCE_EXHAUSTED: 429,
    UNAVAILABLE: 503,
}


class GatewayError(Exception):
    """Error response with a gRPC status code."""

    def __init__(self, code: int, text: str) -> None:
        super().__init__(text)
        self.code = code


class Gateway:
    """Runs calls on the store, each atomically since it has no trio checkpoint."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.value_limit_bytes = 0

    def call(self, kind: str, body: Json) -> Json:
        """Run one call other than a watch and return its response."""
        calls: dict[str, Callable[[Json], Json]] = {
            "range": self._range,
            "put": self._put,
            "txn": self._txn,
            "lease_grant": self._grant_lease,
            "lease_keepalive": self._renew_lease,
            "lease_revoke": self._revoke_lease,
        }
        self.store.expire_leases()
        return calls[kind](body)

    def header(self) -> Json:
        """Return the header that each response contains."""
        return {
            "cluster_id": "1",
            "member_id": "1",
            "revision": str(self.store.revision),
            "raft_term": "2",
        }

    def watch_response(self, changes: list[Change]) -> Json:
        """Return one message of a watch stream."""
        return {
            "result": {
                "header": self.header(),
                "events": [_event_data(change) for change in changes],
            }
        }

    def _range(self, body: Json) -> Json:
        found = self.store.get_range(
            decode_field(body, "key"), decode_field(body, "range_end")
        )
        answer: Json = {"header": self.header()}
        if found:
            answer["kvs"] = [_key_value(key, entry) for key, entry in found]
            answer["count"] = str(len(found))
        return answer

    def _put(self, body: Json) -> Json:
        self.store.apply([self._parse_put(body)], [])
        return {"header": self.header()}

    def _txn(self, body: Json) -> Json:
        matched = all(self._compare(compare) for compare in body.get("compare", []))
        operations = body.get("success" if matched else "failure", [])
        puts, deletes = [], []
        responses: list[Json] = []
        for operation in operations:
            if "request_put" in operation:
                puts.append(self._parse_put(operation["request_put"]))
                responses.append({"response_put": {}})
            elif "request_delete_range" in operation:
                target = operation["request_delete_range"]
                deletes.append(
                    (decode_field(target, "key"), decode_field(target, "range_end"))
                )
                responses.append({"response_delete_range": {}})
            elif "request_range" in operation:
                answer = self._range(operation["request_range"])
                responses.append({"response_range": answer})
            else:
                raise GatewayError(INVALID_ARGUMENT, "unknown request in txn")
        keys = [key for key, _, _ in puts]
        if len(set(keys)) != len(keys):
            raise GatewayError(INVALID_ARGUMENT, "duplicate key given in txn request")
        self.store.apply(puts, deletes)
        answer = {"header": self.header(), "responses": responses}
        # The gateway leaves out fields that have their zero value.
        return answer | ({"succeeded": True} if matched else {})

    def _compare(self, compare: Json) -> bool:
        if compare.get("target") != "MOD" or compare.get("result", "EQUAL") != "EQUAL":
            raise GatewayError(INVALID_ARGUMENT, "only MOD EQUAL is in this stand-in")
        entry = self.store.get(decode_field(compare, "key"))
        revision = entry.mod_revision if entry else 0
        return revision == int(compare.get("mod_revision", 0))

    def _parse_put(self, body: Json) -> tuple[bytes, bytes, int]:
        key, value = decode_field(body, "key"), decode_field(body, "value")
        lease = int(body.get("lease", 0))
        if not key:
            raise GatewayError(INVALID_ARGUMENT, "etcdserver: key is not provided")
        if len(value) > self.value_limit_bytes:
            raise GatewayError(INVALID_ARGUMENT, "etcdserver: request is too large")
        if lease and lease not in self.store.leases:
            raise GatewayError(NOT_FOUND, "etcdserver: requested lease not found")
        return key, value, lease

    def _grant_lease(self, body: Json) -> Json:
        ttl_s = int(body.get("TTL", 0))
        if ttl_s < 1:
            raise GatewayError(INVALID_ARGUMENT, "etcdserver: TTL must be positive")
        lease = self.store.grant(ttl_s)
        return {"header": self.header(), "ID": str(lease), "TTL": str(ttl_s)}

    def _renew_lease(self, body: Json) -> Json:
        lease = int(body.get("ID", 0))
        ttl_s = self.store.keep_alive(lease)
        result = {"header": self.header(), "ID": str(lease)}
        return {"result": result | ({"TTL": str(ttl_s)} if ttl_s else {})}

    def _revoke_lease(self, body: Json) -> Json:
        if not self.store.revoke(int(body.get("ID", 0))):
            raise GatewayError(NOT_FOUND, "etcdserver: requested lease not found")
        return {"header": self.header()}


def decode_field(body: Json, name: str) -> bytes:
    """Return a decoded base64 field, or empty bytes if it is absent."""
    try:
        return b64decode(body.get(name, ""), validate=True)
    except ValueError as exc:
        raise GatewayError(INVALID_ARGUMENT, f"{name} is not valid base64") from exc


def _key_value(key: bytes, entry: Entry) -> Json:
    fields = {
        "key": b64encode(key).decode(),
        "create_revision": str(entry.create_revision),
        "mod_revision": str(entry.mod_revision),
        "version": str(entry.version),
    }
    if entry.value:
        fields["value"] = b64encode(entry.value).decode()
    if entry.lease:
        fields["lease"] = str(entry.lease)
    return fields


def _event_data(change: Change) -> Json:
    if change.entry is not None:
        return {"kv": _key_value(change.key, change.entry)}
    key = b64encode(change.key).decode()
    return {"type": "DELETE", "kv": {"key": key, "mod_revision": str(change.revision)}}
