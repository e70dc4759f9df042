"""Adapter to the Haulbay platform: names, formats and calls.

This package contains no scheduling logic. Each module translates one of the
platform's interfaces to the types of `cranberrycleat.workflow.ports`. The platform's
field names are used only here.
"""
