"""Test rigs for fleets of fronts: deterministic simulations, real processes with relays between them, and checkers."""
