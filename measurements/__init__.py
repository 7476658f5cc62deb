"""Programs that measure; each prints what it found."""
