"""One list of servers from several sources. Decisions in `view`, `gate`, `listfile`; deeds in `watch` and `service`."""
