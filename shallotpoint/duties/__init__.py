"""Duties that one router at a time performs for all: usage reports, server orders."""

from shallotpoint.duties.calls import CallOutcome, Duty, DutyCalls, HeldDuty
from shallotpoint.duties.holder import DutyHolder

__all__ = ["CallOutcome", "Duty", "DutyCalls", "DutyHolder", "HeldDuty"]
