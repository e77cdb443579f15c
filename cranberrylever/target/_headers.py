"""Names of the headers that entries and targets exchange."""

SHARD = "cranberrylever-shard"
FENCE = "cranberrylever-fence"
DEADLINE_MS = "cranberrylever-deadline-ms"
REQUEST_ID = "cranberrylever-request-id"
TARGET_INCARNATION = "cranberrylever-target-incarnation"
OUTCOME = "cranberrylever-outcome"
TARGET_STATE = "cranberrylever-target-state"
