"""The one room that knows front, membership and fleet, and puts a front together from them."""
