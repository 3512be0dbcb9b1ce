"""Options of the entry process."""

import sys

import pytest

import pomelolug.entry
from pomelolug.entry import __main__ as command


@pytest.mark.parametrize(
    ("options", "follows"), [([], False), (["--groups-follow-demand"], True)]
)
def test_groups_follow_demand_only_where_the_option_is_set(
    monkeypatch, options, follows
):
    # Guards against groups that are given up in deployments that have not asked for it.
    received = []
    monkeypatch.setattr(sys, "argv", ["pomelolug-entry", *options])
    monkeypatch.setattr(command, "load_settings", lambda path: "settings")
    monkeypatch.setattr(
        pomelolug.entry, "run_entry", lambda *args, **kwargs: received.append(kwargs)
    )
    command.main()
    assert received == [{"groups_follow_demand": follows}]


def test_unknown_option_is_refused(monkeypatch, capsys):
    # Guards against a mistyped option that has no effect.
    monkeypatch.setattr(sys, "argv", ["pomelolug-entry", "--groups-follow-demands"])
    with pytest.raises(SystemExit) as failure:
        command.main()
    assert failure.value.code == 2
    assert "--groups-follow-demands" in capsys.readouterr().err
