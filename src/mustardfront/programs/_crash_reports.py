"""Crash reports between entries and sidecars, as evidence against prompt parts."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from mustardfront.coordination.quarantine import CrashEvidence, RequestContent
from mustardfront.coordination.quarantine import CrashReport as EvidenceReport
from mustardfront.protocol import CrashReport, Request

# Between the names of the upstream and its instance.
_SEPARATOR = "\0"


def part_content(part: bytes) -> RequestContent:
    """Return the content of a request as far as prompt parts decide on it.

    Whole requests are the ``Quarantine``'s matter: sidecars run suspects alone.
    """
    return RequestContent("", (part.hex(),) if part else ())


def make_crash_report(
    evidence: CrashEvidence,
    upstream: str,
    instance: str,
    fingerprints: tuple[bytes, ...],
    waiting: Iterable[Request],
) -> CrashReport:
    """Return the report of a crash at which ``waiting`` had no output yet."""
    with_part = [req for req in waiting if req.part]
    contents = [_suspect(req.fingerprint, req.part) for req in with_part]
    sound = evidence.sound_parts(_crash_name(upstream, instance), contents)
    return CrashReport(
        upstream,
        instance,
        fingerprints,
        tuple(req.fingerprint for req in with_part),
        tuple(req.part for req in with_part),
        tuple(bytes.fromhex(part) for part in sound),
    )


def record_suspects(evidence: CrashEvidence, message: CrashReport) -> bool:
    """Add the suspects of a report; return whether any of them was new."""
    pairs = zip(message.suspects, message.suspect_parts, strict=False)
    suspects = tuple(_suspect(fingerprint, part) for fingerprint, part in pairs)
    if not suspects:
        return False
    crash = _crash_name(message.upstream, message.instance)
    sound = tuple(part.hex() for part in message.sound_parts)
    return evidence.record_crash(
        EvidenceReport(crash, message.upstream, suspects, sound)
    )


def suspect_reports(evidence: CrashEvidence) -> Iterator[CrashReport]:
    """Yield a report for each unexpired crash with suspects."""
    for crash, suspects in evidence.suspects_by_crash().items():
        upstream, _, instance = crash.partition(_SEPARATOR)
        yield CrashReport(
            upstream,
            instance,
            (),
            tuple(bytes.fromhex(one.fingerprint) for one in suspects),
            tuple(bytes.fromhex(one.parts[0]) for one in suspects),
            tuple(
                bytes.fromhex(part) for part in evidence.sound_parts(crash, suspects)
            ),
        )


def _crash_name(upstream: str, instance: str) -> str:
    return f"{upstream}{_SEPARATOR}{instance}"


def _suspect(fingerprint: bytes, part: bytes) -> RequestContent:
    return RequestContent(fingerprint.hex(), (part.hex(),))
