"""
The promises that a run may break, by the names of their fields.
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
    Has a field for each promise, empty or 0 where it was kept.
    """

    @property
    def is_clean(self) -> bool:
        """
        Tell whether every promise was kept.
        """
        return not any(getattr(self, name) for name in PROMISES)
