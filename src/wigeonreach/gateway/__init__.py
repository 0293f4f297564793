"""Reach the leading core process from anywhere."""

from wigeonreach.gateway._gateway import Gateway

__all__ = ('Gateway',)
