"""Register the processes that follow the configuration text."""

from __future__ import annotations

from wigeonreach.state._machine_dispatch import Context, answer, execute
from wigeonreach.state._machine_state import MachineState
from wigeonreach.wire._command_messages import (
    ForgetProcess,
    RegisterProcess,
    Reply,
)
from wigeonreach.wire._state_messages import (
    Processes,
    ProcessRecord,
    ReadProcesses,
)

_FORGET_AFTER_S = 86_400.0


@execute.register
def register_process(action: RegisterProcess, context: Context) -> Reply:
    """Register a process, and drop those not registered again for a day."""
    state = context.state
    state.processes[action.process] = ProcessRecord(
        action.process,
        action.zone,
        state.clock_s,
    )
    oldest_s = state.clock_s - _FORGET_AFTER_S
    state.processes = {
        name: record
        for name, record in state.processes.items()
        if record.registered_s >= oldest_s
    }
    return context.succeeded()


@execute.register
def forget_process(action: ForgetProcess, context: Context) -> Reply:
    """Unregister a process that has ended and will not come back."""
    context.state.processes.pop(action.process, None)
    return context.succeeded()


@answer.register
def read_processes(
    _question: ReadProcesses,
    state: MachineState,
) -> Processes:
    """Return all registered processes, sorted by name."""
    return Processes(
        tuple(record for _, record in sorted(state.processes.items())),
    )
