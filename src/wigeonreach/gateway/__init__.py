"""Client that routes calls to the leader of the core processes."""

from wigeonreach.gateway._gateway import Gateway

__all__ = ('Gateway',)
