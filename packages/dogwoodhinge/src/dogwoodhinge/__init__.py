"""Public API of dogwoodhinge: ports, models, errors and hooks.

Plug-ins need to import only this package. Everything in `_dogwoodhinge` is
private and may change without notice.
"""
