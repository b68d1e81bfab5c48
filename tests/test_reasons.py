"""Tests of the texts and HTTP statuses of reasons."""

import pytest

from arbutusladder import reasons
from arbutusladder.states import Outcome, Reason


class TestReasonTexts:
    """Guards against responses and documentation without an explanation of a reason."""

    def test_every_reason_has_texts(self):
        assert list(reasons.TEXT_BY_REASON) == list(Reason)

    @pytest.mark.parametrize("reason", Reason)
    def test_texts_have_the_form_of_a_sentence_and_of_a_clause(self, reason):
        text = reasons.TEXT_BY_REASON[reason]
        assert text.meaning[0].isupper() and text.meaning.endswith(".")
        assert text.remedy[0].islower() and not text.remedy.endswith(".")
        assert reasons.remedy(reason.value) == text.remedy

    def test_unknown_value_has_the_default_remedy(self):
        assert reasons.remedy("of_a_later_version") == reasons.DEFAULT_REMEDY


class TestStatus:
    """Guards against HTTP statuses that contradict the outcome."""

    @pytest.mark.parametrize("reason", Reason)
    def test_unknown_outcome_has_504_and_a_refusal_has_not(self, reason):
        assert reasons.status(reason.value, Outcome.UNKNOWN) == 504
        assert reasons.status(reason.value) not in {200, 504}
