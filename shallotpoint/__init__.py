"""Router for language-model traffic with service levels and priorities.

The names below are the library: coordination parts and policy parts that other
programs can embed.  The daemons are in ``shallotpoint.daemons``.
"""

from shallotpoint.blackboard import Blackboard
from shallotpoint.coordination.cas import CasCell
from shallotpoint.coordination.config import ConfigState, ConfigStore, Edit, Section
from shallotpoint.coordination.credit_rows import PeerCredits
from shallotpoint.coordination.credits import CreditLedger
from shallotpoint.coordination.gossip import Board, Row
from shallotpoint.coordination.kv import (
    Delete,
    Entry,
    Expect,
    KeyValue,
    OutcomeUnknown,
    Put,
    Unavailable,
)
from shallotpoint.coordination.lease import LeaseHolder
from shallotpoint.coordination.ledger import OnceLedger
from shallotpoint.coordination.memory_kv import MemoryKeyValue
from shallotpoint.policy.model import BranchException, Pool, ServiceClass
from shallotpoint.policy.retries import RetryBudget
from shallotpoint.policy.scheduler import Scheduler
from shallotpoint.policy.state import Slots
from shallotpoint.policy.ticket import Ticket
from shallotpoint.policy.tuning import Tuning
from shallotpoint.results import Executed, Result

__all__ = [
    "Blackboard",
    "Board",
    "BranchException",
    "CasCell",
    "ConfigState",
    "ConfigStore",
    "CreditLedger",
    "Delete",
    "Edit",
    "Entry",
    "Executed",
    "Expect",
    "KeyValue",
    "LeaseHolder",
    "MemoryKeyValue",
    "OnceLedger",
    "OutcomeUnknown",
    "PeerCredits",
    "Pool",
    "Put",
    "Result",
    "RetryBudget",
    "Row",
    "Scheduler",
    "Section",
    "ServiceClass",
    "Slots",
    "Ticket",
    "Tuning",
    "Unavailable",
]
