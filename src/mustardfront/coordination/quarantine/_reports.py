"""Contents of requests that may crash upstreams, and the reports of crashes."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Final

# Bounds what one report costs its readers and the store: names of parts and requests.
REPORT_NAMES_MAX: Final = 8_192


@dataclass(frozen=True, slots=True)
class RequestContent:
    """What may crash an upstream: the whole request, or one of its shared parts.

    ``fingerprint`` identifies the whole request; ``parts`` are the prompt's parts that
    other requests may share, in order.
    """

    fingerprint: str
    parts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CrashReport:
    """One entry's report of a crash.

    ``crash`` names the incarnation that crashed, ``suspects`` are this entry's requests
    that waited for their first output there. ``sound_parts`` are those of their parts
    and fingerprints that had produced output since the crash before, ``cleared`` are
    those that produced output after this crash. ``noticed_s`` is when the entry noticed
    the crash, ``sent_s`` when it sent each suspect, in Unix seconds.

    Reports of earlier versions have no times; such a crash counts for itself.
    """

    crash: str
    reporter: str
    suspects: tuple[RequestContent, ...]
    sound_parts: tuple[str, ...] = ()
    cleared: tuple[str, ...] = ()
    noticed_s: float | None = None
    sent_s: tuple[float, ...] = ()


def bounded(report: CrashReport) -> CrashReport:
    """Return a report of at most ``REPORT_NAMES_MAX`` names.

    Parts that are known as sound are left out first, then those at the start of
    prompts, which more requests share.
    """
    if _name_count(report) <= REPORT_NAMES_MAX:
        return report
    known = frozenset(report.sound_parts)
    suspects = [
        replace(one, parts=tuple(part for part in one.parts if part not in known))
        for one in report.suspects
    ]
    room = REPORT_NAMES_MAX // max(1, 2 * len(suspects))
    suspects = [replace(one, parts=one.parts[-room:]) for one in suspects]
    return replace(
        report,
        suspects=tuple(suspects),
        sound_parts=report.sound_parts[: REPORT_NAMES_MAX // 4],
        cleared=report.cleared[: REPORT_NAMES_MAX // 4],
    )


def _name_count(report: CrashReport) -> int:
    parts = sum(len(one.parts) for one in report.suspects)
    return parts + len(report.sound_parts) + len(report.cleared)
