"""
Hypothesis strategies for arbitrary plain values.
"""

from hypothesis import strategies as st

SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**63), 2**63),
    st.floats(allow_nan=False),
    st.text(max_size=12),
)
PLAIN_VALUES = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4),
        st.dictionaries(st.text(max_size=12), inner, max_size=4),
    ),
    max_leaves=8,
)
