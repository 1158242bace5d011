"""Settings of a gateway that are read again while it runs."""

from __future__ import annotations

from dataclasses import replace

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.programs.gateway import GatewaySettings, LiveSettings
from mustardfront.results import Err, Ok

OLD = GatewaySettings(
    host="e1",
    place="a",
    listen=("127.0.0.1", 1),
    ready_listen=("127.0.0.1", 2),
    metrics_listen=("127.0.0.1", 3),
    deregister_s=2.0,
    grace_s=8.0,
    view_age_max_s=4.0,
    retry_ratio=0.1,
    retry_extra=50.0,
)


def reload_with(read) -> tuple[GatewaySettings, list[events.Event]]:
    """Reload settings with a reader; return those in force and the events logged."""
    logged: list[events.Event] = []

    def listener(event, fields):
        logged.append(event)

    live = LiveSettings(OLD, read)
    events.add_listener(listener)
    try:
        live.reload("SIGHUP")
    finally:
        events.remove_listener(listener)
    return live.current, logged


def test_changed_bounds_come_into_force():
    """Guards against a budget of retries that stays as it was at the start."""
    changed = replace(
        OLD, grace_s=5.0, view_age_max_s=2.0, retry_ratio=0.3, retry_extra=9.0
    )
    current, logged = reload_with(lambda: Ok(changed))
    assert current == changed
    assert logged == [events.Event.SETTINGS_RELOADED]


def test_addresses_stay_as_they_were():
    """Guards against a process that believes it listens where it does not."""
    moved = replace(OLD, listen=("127.0.0.1", 9), host="e2", place="b")
    current, _ = reload_with(lambda: Ok(moved))
    assert current == OLD


def test_settings_that_cannot_be_read_change_nothing():
    """Guards against a file that is being written ending or changing the process."""
    current, logged = reload_with(lambda: Err(Code.SETTING_INVALID, "no such file"))
    assert current == OLD
    assert logged == [events.Event.SETTING_REFUSED]


def test_without_a_reader_settings_are_kept():
    current, logged = reload_with(None)
    assert current == OLD
    assert logged == [events.Event.SETTINGS_KEPT]


def test_change_before_the_signal_handler_is_taken_over():
    """Guards against a SIGHUP that is ignored while the process starts."""
    changed = replace(OLD, grace_s=5.0)
    live = LiveSettings(OLD, lambda: Ok(changed))
    live.reload_if_changed()
    assert live.current == changed
    unchanged = LiveSettings(OLD, lambda: Ok(OLD))
    unchanged.reload_if_changed()
    assert unchanged.current is OLD
