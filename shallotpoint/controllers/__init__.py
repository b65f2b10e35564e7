"""Controllers: each keeps sections of the blackboard current and acts on others."""
