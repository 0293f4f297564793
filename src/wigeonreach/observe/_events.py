"""Number every log event; the catalogue is ``docs/LOG-EVENTS.md``."""

from __future__ import annotations

import enum


@enum.unique
class LogEvent(enum.IntEnum):
    """Numbered log events."""

    # 100: every daemon.
    DAEMON_STARTED = 101
    DAEMON_STOPPING = 102
    DAEMON_STOPPED = 103
    DAEMON_FORCED = 104

    # 200: entries.
    TARGET_JOINED = 201
    TARGET_LEAVING = 202
    TARGET_EXPIRED = 203
    PEER_CONNECTED = 204
    PEER_LOST = 205
    CONFIG_IN_FORCE = 206
    CONFIG_SOURCE_LOST = 207
    DRAIN_FINISHED = 208
    DRAIN_CUT_OFF = 209
    CONFIG_UNREADABLE = 221
    TARGET_EJECTED = 231
    TARGET_RESTORED = 232
    REQUEST_FAULT = 210

    # 300: replicas.
    CHANGE_ACCEPTED = 301
    CHANGE_REFUSED = 302
    JOURNAL_TAIL_CUT = 303
    FOLLOWER_LOST = 304
    DATA_DAMAGED = 305
    DISK_REFUSED = 306
    REPLICA_FAILED = 307
    ROLE_CHANGED = 308
    SNAPSHOT_TAKEN = 309
    SNAPSHOT_RESTORED = 310
    VOTERS_CHANGED = 311
    LEADER_MISSING = 312

    # 400: managers.
    LEASE_HELD = 401
    WAVE_CHANGED = 402
    PLATFORM_FAULT = 403
    ROUND_FAILED = 404
    JOB_SET_ASIDE = 405
    JOB_MAY_HAVE_RUN = 406
