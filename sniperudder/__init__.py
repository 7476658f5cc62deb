"""A router for language-model pipelines on heterogeneous accelerators."""

__version__ = '0.1.0'
