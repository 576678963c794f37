"""Server lists: their published forms, the last good list, and the sources that read them."""
