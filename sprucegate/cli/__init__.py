"""Operator's file, command line and structured log. The platform's front imports none of it."""
