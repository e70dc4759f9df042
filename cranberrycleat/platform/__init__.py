"""The adapter to the Haulbay platform: names, formats and calls.

Nothing here decides anything. Each module turns one of the platform's
interfaces into the types of `cranberrycleat.workflow.ports`; the platform's
field names stand here and nowhere else.
"""
