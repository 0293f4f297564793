"""Number every result that a caller or an operator can see."""

from __future__ import annotations

import enum


class Outcome(enum.StrEnum):
    """Whether a request's work was run by a target."""

    RAN = 'ran'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class ExitCode(enum.IntEnum):
    """Exit status of the command line."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    CONFLICT = 4
    UNREACHABLE = 5
    NOT_IN_FORCE = 6


@enum.unique
class ResultCode(enum.IntEnum):
    """Numbered results; the table is ``docs/RESULT-CODES.md``."""

    OK = 0

    # 1000: the operator's text.
    TEXT_SYNTAX = 1001
    TEXT_UNKNOWN_KEY = 1002
    TEXT_BAD_VALUE = 1003
    TEXT_UNKNOWN_REFERENCE = 1004
    TEXT_DEPENDENCY_CYCLE = 1005
    TEXT_VM_IN_TWO_POOLS = 1006
    TEXT_IMPOSSIBLE_BUDGET = 1007
    TEXT_MISSING_KEY = 1008

    # 2000: a caller's request.
    REQUEST_UNKNOWN_SERVICE = 2001
    REQUEST_BAD_HEADER = 2002
    REQUEST_TOO_LARGE = 2003
    REQUEST_BODY_INCOMPLETE = 2004
    REQUEST_NO_TARGET = 2005
    REQUEST_QUEUE_FULL = 2006
    REQUEST_DEADLINE_TOO_SHORT = 2007
    REQUEST_DEADLINE_PASSED = 2008
    REQUEST_SHUTTING_DOWN = 2009
    REQUEST_TARGET_UNREACHABLE = 2010
    REQUEST_ANSWER_LOST = 2011
    REQUEST_ANSWER_INCOMPLETE = 2012
    REQUEST_ANSWER_CROSSED = 2013
    REQUEST_KEY_INVALID = 2014
    REQUEST_KEY_EXPIRED = 2015
    REQUEST_KEY_IN_PROGRESS = 2016
    REQUEST_KEY_OWNER_UNREACHABLE = 2017
    REQUEST_CONFIG_NOT_READY = 2018
    ANNOUNCE_INVALID = 2101

    # 3000: the durable state.
    STATE_CONFLICT = 3001
    STATE_NO_QUORUM = 3002
    STATE_DAMAGED = 3003
    STATE_FOLDER_IN_USE = 3004
    STATE_DISK_FAILED = 3005
    STATE_UNKNOWN_VERSION = 3006
    STATE_RESULT_FORGOTTEN = 3021
    STATE_NOT_HELD = 3022
    STATE_RECORD_CHANGED = 3023
    STATE_NOT_ALLOWED = 3024
    STATE_UNKNOWN_RECORD = 3025
    STATE_BEHIND = 3026

    # 5000: settings.
    SETTING_MISSING = 5001
    SETTING_INVALID = 5002

    # 6000: between processes.
    WIRE_MALFORMED = 6001
    WIRE_TOO_LARGE = 6002
    WIRE_UNREACHABLE = 6003
