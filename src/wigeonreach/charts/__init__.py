"""State charts as transition tables."""

from wigeonreach.charts._table import ChartTable, load_chart

__all__ = ('ChartTable', 'load_chart')
