"""Jobs of several steps: accepted at a door, placed by one owner, kept in a table.

`spec` says what a job is, `state` what has become of it, `rows` how that is
stored. `owner` decides and `links` speaks to workers; `door` answers callers.
`ports` holds the interfaces that an adapter to a platform implements.
"""
