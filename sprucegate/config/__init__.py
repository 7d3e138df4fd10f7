"""How a place in an operator's document is named; below all that read documents."""
