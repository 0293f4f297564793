"""Run the tasks of a leader side by side."""

from __future__ import annotations

import asyncio
import dataclasses

from wigeonreach.core._advice_poller import AdvicePoller, AdvisorApi
from wigeonreach.core._term import LeaderTerm
from wigeonreach.core._vm_actions import VmActions
from wigeonreach.core._vm_holds import VmHolds
from wigeonreach.core._vm_orders import VmOrders
from wigeonreach.jobs import JobStore
from wigeonreach.observe import Logger, Metrics
from wigeonreach.scheduling._vms import VmApi


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderClients:
    """Clients of the services that a leader calls.

    Attributes
    ----------
    vms
        Platform API that maintains and moves VMs.
    advisor
        Service that knows which workers may run the steps of some queues.
    """

    vms: VmApi
    advisor: AdvisorApi


async def run_leader_tasks(
    term: LeaderTerm,
    store: JobStore,
    clients: LeaderClients,
    vm_holds: VmHolds,
    logger: Logger,
    metrics: Metrics,
) -> None:
    """Schedule, order VMs and ask for advice until cancelled.

    Parameters
    ----------
    term
        The leader's term, which has begun.
    store
        The replicated state; only read here.
    clients
        The services that the leader calls.
    vm_holds
        Tracks the VMs with recent orders of earlier leaders.
    logger, metrics
        Log and count the decisions.
    """
    vm_actions = VmActions(
        term,
        store,
        clients.vms,
        VmOrders(term, vm_holds, logger, metrics),
        logger,
        metrics,
    )
    advice_poller = AdvicePoller(term, clients.advisor, metrics)
    async with asyncio.TaskGroup() as group:
        group.create_task(term.run())
        group.create_task(vm_actions.run())
        group.create_task(advice_poller.run())
