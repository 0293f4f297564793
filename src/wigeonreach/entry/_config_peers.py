"""Exchange configuration copies among the entries of a zone."""

from __future__ import annotations

import mode

from wigeonreach.entry._config import ConfigFollower
from wigeonreach.entry._peers import PeerExchange
from wigeonreach.rollout._copy import missing_sections
from wigeonreach.wire._peer_messages import PeerHello
from wigeonreach.wire._rollout_messages import ConfigNeed, ConfigSections

# Peers are asked only when no replica has confirmed the copy for this long.
_MAX_CONFIRMED_AGE_S = 3.0
_ASK_INTERVAL_S = 1.0


class ConfigPeers(mode.Service):
    """Requests copies from the zone's entries and answers their requests.

    Requests are sent only while no replica confirms the held copy.

    Parameters
    ----------
    config
        Holder of this entry's copy.
    peers
        Channels to the other entries.
    """

    def __init__(self, config: ConfigFollower, peers: PeerExchange) -> None:
        """Register the handlers of configuration messages."""
        super().__init__()
        self._config = config
        self._peers = peers
        peers.handle(ConfigNeed, self._on_need)
        peers.handle(ConfigSections, self._on_sections)

    @mode.Service.task
    async def _ask_while_unconfirmed(self) -> None:
        await self.sleep(_MAX_CONFIRMED_AGE_S)
        while not self.should_stop:
            if self._config.confirmed_age_s > _MAX_CONFIRMED_AGE_S:
                await self._ask_peers()
            await self.sleep(_ASK_INTERVAL_S)

    async def _ask_peers(self) -> None:
        held = self._config.follower.held
        need = ConfigNeed(held.version, held.digests())
        self._peers.post_to_zone(need)
        # A peer that has not replied by then is regarded as unreachable.
        await self.sleep(_ASK_INTERVAL_S)
        if self._config.follower.held.version:
            self._config.note_peers_replied()

    def _on_need(self, hello: PeerHello, need: ConfigNeed) -> None:
        held = self._config.follower.held
        if held.version > need.version:
            self._peers.post(hello.process, missing_sections(held, need))

    def _on_sections(self, _hello: PeerHello, sent: ConfigSections) -> None:
        self._config.apply(self._config.follower.on_peer_sections(sent))
