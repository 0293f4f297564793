"""Let the entries of a zone bring each other up to date."""

from __future__ import annotations

import mode

from wigeonreach.entry._config import ConfigFollower
from wigeonreach.entry._peers import PeerExchange
from wigeonreach.rollout._copy import missing_sections
from wigeonreach.wire._peer_messages import PeerHello
from wigeonreach.wire._rollout_messages import ConfigNeed, ConfigSections

# An entry whose replica confirms regularly has nothing to ask its peers.
_UNCONFIRMED_S = 3.0
_ASK_S = 1.0


class ConfigPeers(mode.Service):
    """Ask the zone's entries while no replica confirms, and answer them.

    Parameters
    ----------
    config
        The copy held here.
    peers
        The channels to the other entries.
    """

    def __init__(self, config: ConfigFollower, peers: PeerExchange) -> None:
        """Answer from now on."""
        super().__init__()
        self._config = config
        self._peers = peers
        peers.handle(ConfigNeed, self._on_need)
        peers.handle(ConfigSections, self._on_sections)

    @mode.Service.task
    async def _ask(self) -> None:
        await self.sleep(_UNCONFIRMED_S)
        while not self.should_stop:
            if self._config.confirmed_age_s > _UNCONFIRMED_S:
                await self._ask_all()
            await self.sleep(_ASK_S)

    async def _ask_all(self) -> None:
        held = self._config.follower.held
        need = ConfigNeed(held.version, held.digests())
        self._peers.post_to_zone(need)
        # A peer that is cut off is waited for no longer than this.
        await self.sleep(_ASK_S)
        if self._config.follower.held.version:
            self._config.note_peers_told()

    def _on_need(self, hello: PeerHello, need: ConfigNeed) -> None:
        held = self._config.follower.held
        if held.version > need.version:
            self._peers.post(hello.process, missing_sections(held, need))

    def _on_sections(self, _hello: PeerHello, sent: ConfigSections) -> None:
        self._config.take(self._config.follower.on_peer_sections(sent))
