"""Controllers: tasks that each own some state and change it by handling messages."""
