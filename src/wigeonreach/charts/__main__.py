"""Generate ``tables.json`` from the chart files."""

from wigeonreach.charts._reading import FOLDER, encode_all

(FOLDER / 'tables.json').write_text(encode_all())
