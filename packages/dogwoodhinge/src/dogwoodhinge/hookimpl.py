"""The decorator that marks hook implementations in plug-ins."""

import pluggy

PROJECT_NAME = "dogwoodhinge"

hookimpl = pluggy.HookimplMarker(PROJECT_NAME)
