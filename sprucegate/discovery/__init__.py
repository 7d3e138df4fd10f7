"""One list of servers from several sources. Decisions in `view`, `gate`, `listfile`; `watch` and `service` act."""
