"""Fencing tokens of orders and lease renewals.

A worker refuses all calls with a token lower than the highest that it has seen. Nothing
else tells whether a call that got no answer may still be executed, also by the next
incarnation of the worker: this knows nothing of before, and takes calls that were meant
for the former one. So an owner numbers its tokens for each worker. Once an incarnation
has answered a call with a higher number, no earlier call can take effect on it.
"""

from arbutusladder.ids import Epoch, FencingToken

# Numbers of an epoch; an owner raises the number of a worker with each restart and each
# silence of it.
TOKENS_PER_EPOCH = 1_000_000


def fencing_token(epoch: Epoch, number: int) -> FencingToken:
    """Returns the token for calls to a worker; tokens rise with epoch and number."""
    return FencingToken(epoch * TOKENS_PER_EPOCH + number)


def token_epoch(token: FencingToken) -> Epoch:
    """Returns the epoch of a token."""
    return Epoch(token // TOKENS_PER_EPOCH)
