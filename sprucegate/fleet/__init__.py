"""Many fronts as one: who is there, what they tell each other, and what holds at all of them."""
