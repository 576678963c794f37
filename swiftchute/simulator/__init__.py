"""The adapter between the bench's wire and the decision module: it translates and decides nothing."""
