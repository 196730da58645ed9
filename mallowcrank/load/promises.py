"""
The promises checked in a run, by the names of their fields.
"""

PROMISES = (
    'lost',
    'doubled',
    'crossed',
    'layer_violations',
    'false_refusals',
    'late_settings',
    'idle_faults',
)


class PromiseFields:
    """
    Base of classes with a field for each promise, which is empty or 0 if the
    promise was kept.
    """

    @property
    def is_clean(self) -> bool:
        """
        Return whether every promise was kept.
        """
        return not any(getattr(self, name) for name in PROMISES)
