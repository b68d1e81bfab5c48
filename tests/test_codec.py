"""Tests of the message encoding between entry VMs."""

import dataclasses

import pytest

from arbutusladder import codec, messages
from arbutusladder.errors import ProtocolError
from arbutusladder.states import Outcome


class TestEnvelope:
    """Guards against messages that the receiver cannot decode."""

    def test_answer_without_a_body_is_decoded(self):
        # A default body of the wrong type made every refusal undecodable.
        answer = messages.ForwardAnswer("r", Outcome.NOT_RUN)
        data = codec.pack_envelope("seat-0", 1.0, answer)
        assert codec.unpack_envelope(data) == ("seat-0", 1.0, answer)

    def test_defaults_have_the_declared_type(self):
        for name, kind in vars(messages).items():
            if not dataclasses.is_dataclass(kind):
                continue
            for field in dataclasses.fields(kind):
                if field.type == "bytes" and field.default is not dataclasses.MISSING:
                    assert isinstance(field.default, bytes), (name, field.name)

    @pytest.mark.parametrize(
        "data", [b"", b"\xc1", b"\x94\xa1s\x01\xa4None\xc0", b"\x01"]
    )
    def test_malformed_data_is_a_protocol_error(self, data):
        with pytest.raises(ProtocolError):
            codec.unpack_envelope(data)
