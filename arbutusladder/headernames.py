"""Names of the HTTP header fields that Arbutusladder reads or writes."""

# From callers to entry VMs.
KEY_HEADER = "Idempotency-Key"
WORKLOAD_HEADER = "Arbutusladder-Workload"
DEADLINE_HEADER = "Arbutusladder-Deadline-Ms"

# From entry VMs to callers and operators.
OUTCOME_HEADER = "Arbutusladder-Outcome"
# Configuration revision under which the request was handled.
REVISION_HEADER = "Arbutusladder-Revision"

# Between shard owners and executors.
REQUEST_ID_HEADER = "Arbutusladder-Request-Id"
NOT_RUN_HEADER = "Arbutusladder-Not-Run"
LEAVING_HEADER = "Arbutusladder-Leaving"
