"""Describe a safeguard that can be taken out."""


class Ablation:
    """Name a safeguard, how to take it out, and the test that must fail."""

    def __init__(
        self, promise: str, edits: list[tuple[str, str, str]], test: str
    ) -> None:
        self.promise = promise
        self.edits = edits
        self.test = test
