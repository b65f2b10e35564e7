"""Pure decisions: the time is an argument, and there is no I/O."""
