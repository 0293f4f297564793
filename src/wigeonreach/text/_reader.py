"""Read one version of a text after the other, each part once.

Reading TOML costs about a third of a millisecond a kilobyte.  A change mostly
touches one table of many, so the tables of the last version are kept by their
own text and only new ones are read.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from typing import Any

import pydantic

from wigeonreach.rollout import split_sections
from wigeonreach.text._checks import find_faults
from wigeonreach.text._model import FleetText
from wigeonreach.text._parse import fleet_of, parse_fleet_text
from wigeonreach.text._schema import TextSchema

_ARRAY_OF_TABLES = '[['


class TextReader:
    """Turn texts into data, keeping what the last one had in common."""

    def __init__(self) -> None:
        """Know no table yet."""
        self._tables: dict[str, dict[str, Any]] = {}

    def read(self, text: str) -> FleetText:
        """Return a text as data.

        Parameters
        ----------
        text
            The whole text.

        Returns
        -------
        FleetText
            The same as ``parse_fleet_text`` returns.

        Raises
        ------
        FleetTextError
            If anything is wrong.
        """
        try:
            schema = TextSchema.model_validate(self._load(text))
        except (tomllib.TOMLDecodeError, pydantic.ValidationError):
            # A string over several lines may look like a table in its middle;
            # an error needs the line in the whole text.
            return parse_fleet_text(text)
        if next(find_faults(schema), None) is not None:
            return parse_fleet_text(text)
        return fleet_of(schema)

    def _load(self, text: str) -> dict[str, Any]:
        tables: dict[str, dict[str, Any]] = {}
        whole: dict[str, Any] = {}
        headers: set[str] = set()
        for section in split_sections(text):
            header = section.partition(']')[0]
            if header in headers or section.startswith(_ARRAY_OF_TABLES):
                return tomllib.loads(text)
            headers.add(header)
            table = self._tables.get(section)
            if table is None:
                table = tomllib.loads(section)
            tables[section] = table
            _merge(whole, table)
        self._tables = tables
        return whole


def _merge(whole: dict[str, Any], table: Mapping[str, Any]) -> None:
    for key, inner in table.items():
        known = whole.get(key)
        if known is None:
            # Tables are kept for the next text, so they are not grown here.
            whole[key] = _copied(inner)
        else:
            _merge_known(known, inner, key)


def _merge_known(known: Any, inner: Any, key: str) -> None:
    if not isinstance(known, dict) or not isinstance(inner, dict):
        raise tomllib.TOMLDecodeError(f'{key} stands twice')
    _merge(known, inner)


def _copied(inner: Any) -> Any:
    if not isinstance(inner, dict):
        return inner
    return {key: _copied(deeper) for key, deeper in inner.items()}
