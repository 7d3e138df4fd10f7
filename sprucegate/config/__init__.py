"""Source locations in KDL documents; a lower layer than the modules that parse documents."""
