"""Multi-step jobs: accepted on any host, scheduled by one owner, stored in a table.

`spec` defines a job, `state` its progress, and `rows` how both are stored. `owner`
makes the scheduling decisions, `links` talks to workers, and `job_frontend` serves
callers. `ports` defines the interfaces that a platform adapter implements.
"""
