"""Read state charts into tables that the code interprets."""

from wigeonreach.charts._table import ChartTable, load_chart

__all__ = ('ChartTable', 'load_chart')
