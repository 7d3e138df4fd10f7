"""Puts a front together from its packages (front, discovery, fleet); the only package that imports all of them."""
