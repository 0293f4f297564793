"""Parse successive versions of a text, each unchanged table only once.

Parsing TOML costs about a third of a millisecond per kilobyte.  Most changes
affect one table of many, so the parsed tables of the last version are cached by
their source text and only new ones are parsed.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from typing import Any

import pydantic

from wigeonreach.rollout import split_sections
from wigeonreach.text._checks import find_faults
from wigeonreach.text._model import FleetText
from wigeonreach.text._parse import convert_schema, parse_fleet_text
from wigeonreach.text._schema import TextSchema

_ARRAY_OF_TABLES = '[['


class TextReader:
    """Parse texts, reusing the tables that the last text shares."""

    def __init__(self) -> None:
        """Start with no cached tables."""
        self._tables: dict[str, dict[str, Any]] = {}

    def read(self, text: str) -> FleetText:
        """Parse and check a configuration text.

        Parameters
        ----------
        text
            The whole text.

        Returns
        -------
        FleetText
            The same result as from ``parse_fleet_text``.

        Raises
        ------
        FleetTextError
            If any part is invalid.
        """
        try:
            schema = TextSchema.model_validate(self._load(text))
        except (tomllib.TOMLDecodeError, pydantic.ValidationError):
            # A line of a multi-line string may look like a table header, which
            # splits the text wrongly; and an error message needs the line
            # number within the whole text.
            return parse_fleet_text(text)
        if next(find_faults(schema), None) is not None:
            return parse_fleet_text(text)
        return convert_schema(schema)

    def _load(self, text: str) -> dict[str, Any]:
        tables: dict[str, dict[str, Any]] = {}
        merged: dict[str, Any] = {}
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
            _merge(merged, table)
        self._tables = tables
        return merged


def _merge(merged: dict[str, Any], table: Mapping[str, Any]) -> None:
    for key, inner in table.items():
        existing = merged.get(key)
        if existing is None:
            # Copied, since cached tables are reused and must not be modified.
            merged[key] = _copy_tables(inner)
        else:
            _merge_existing(existing, inner, key)


def _merge_existing(existing: Any, inner: Any, key: str) -> None:
    if not isinstance(existing, dict) or not isinstance(inner, dict):
        raise tomllib.TOMLDecodeError(f'duplicate key: {key}')
    _merge(existing, inner)


def _copy_tables(inner: Any) -> Any:
    if not isinstance(inner, dict):
        return inner
    return {key: _copy_tables(nested) for key, nested in inner.items()}
