"""Examples of each form that a build has written: this one reads them, and is read by the one
before.
"""

import base64

import msgspec

from whinpier.fleet import messages
from whinpier.fleet.consensus.node import replay_journal
from whinpier.fleet.messages import (
    APPLICATION_DATA,
    EJECTION_VOTE_REPLY,
    LEASE_GRANT,
    DatagramError,
    DatagramWithoutConsensus,
    LogEntry,
    Seal,
    pool_hash,
)
from whinpier.fleet.rollouts.state_machine import RolloutStateMachine
from whinpier.storage.append_log import read_records

KEY = Seal((b"0123456789abcdef",))
# Written by the build before there was a record, and by the one that brought it.
BEFORE = (
    "cR~T52G1zD=j2z&LRkzA4iAx)&nUU)<X6Z-Spot936YwjZ86V40000000034sWCD)E-)@IE-}p;S*0*8F)lEnVWVMUW0B4)5"
    "fkADk&@0U5fkCW0s#V%1(B8k0nZQs00000000C70?!Zt00000002#qm8ooLZE18bVQg%~4|^hEZEtmMbRs$+H7+oH1PjgTV3"
    "C&t0RjU7001b%uL4MG{NXi=q8zPIq;~"
)
TALKS = (
    "cR~T&01yVxD7ok4SI9zH3=Iwsk(JLVx##3p$U<2H0s#q;nxbtn&p-eG000000RyQqGB++TE-)@J%^O*zFfK7JFri_iVPa#E&"
    "MOfU;RlhD&MOfU;lu&~0+9ugmH`3J5C8xG000001Oo!k5C8xG00000O_7zUY-w$2bT46SY{U<HB4KTBb#8PbIv_PJFnt6I&F"
    "Wy0mjeL;0|5X4k(vX|0RRLA0RjUAk&^`i!~|?<Ze_#-ZEtdATrmTE5$B?uUwER9b&ez#"
)
RECORD = (
    "00006F|iB*lK{;D00#g700cTZJpq#e0|x*A01V-PY~_^#0RaKT1%aY%Fb4nt04Fb)GQyPt0s{iXAd-~@qhW4tqjzX|0soPeq"
    "hV}psbXPlVQyn(a&rQppa1{>7e1#Io|OUv0|Ueml$8dfVsB!g0RN(GF`%Jg0000KmRJR7l>!6<1;h=K0Fjgcq+%~^G611r"
)
WHOLE = (
    "+yD{-k(HxiY;37wVQgV;V`Xx40-&IQq+%~^F_i%WrDSqpX>Ormpn;-oGNECBfuv$DZ84VtsAO_sX>Mt5XQN_oVxRy6pn!m&p"
    "n!k@z>t!d0s*68Zf>n`WpZt4baNnKY-~L;qjzX|!>2JIa&>HFbHotVmbkeq6SR?3Kil9a^o9tS0|299Z(^uqa$#w1AZ;<A!>"
    "Dj&a&2jJATh)c?M29Ze>&??US+1fFh!kjf(4TT!>2JIa&>HFa|V+G!>Dj&a&2jJATb0"
)
STATE = "0000N>bh>Nla!`+X>Me1cg-+4&Sg{a005H(2?7HE000k4W{p>qk)>i~XLW9o&Sg{a00a"


def test_a_datagram_of_the_build_before_is_read_and_is_written_the_same():
    data = base64.b85decode(BEFORE)
    found = KEY.open(data)
    assert (found.kind, found.sequence, found.consensus_messages) == (APPLICATION_DATA, 12, [])
    assert (
        found.metadata[0].name == "m1"
        and found.quota_messages[0].kind == LEASE_GRANT
        and found.ejection_messages[0].kind == EJECTION_VOTE_REPLY
    )
    assert (
        found.payloads == [(pool_hash("t"), b"\x01\x02")]
        and found.registry_entries[0].key == "limit/all"
    )
    # Without talks about the record it is, to the byte, what the build before wrote.
    assert (
        KEY.seal(
            DatagramWithoutConsensus(
                *[getattr(found, key) for key in DatagramWithoutConsensus.__struct_fields__]
            )
        )
        == data
    )


def test_what_this_build_adds_is_passed_over_by_the_one_before():
    data = base64.b85decode(TALKS)
    found = KEY.open(data)
    assert (
        found.consensus_messages[0].entries == [LogEntry(5, 2, b"line")]
        and found.consensus_messages[0].data == b"more"
    )
    before = msgspec.msgpack.decode(
        data[messages.HEADER_BYTES : -messages.TAG_BYTES], type=DatagramWithoutConsensus
    )
    assert before.metadata == found.metadata and before.quota_messages == found.quota_messages
    body = (
        messages.MAGIC
        + bytes((messages.FORMAT_VERSION + 1,))
        + data[messages.HEADER_BYTES : -messages.TAG_BYTES]
    )
    try:
        KEY.open(body + KEY.tag(body, KEY.keys[0]))
        raise AssertionError("a later form was read")
    except DatagramError as unread:
        assert unread.reason == "later_form"


def test_a_record_on_a_disk_and_what_it_comes_to_are_read():
    magic = b"whinpier bank record 1\n"
    copy = replay_journal(
        note for _, note in read_records("record", magic + base64.b85decode(RECORD), magic)
    )
    assert (copy.cluster_id, copy.disk_id, copy.term, len(copy.entries)) == (256, 7, 3, 4)
    record, restored = RolloutStateMachine(), RolloutStateMachine()
    for index, line in enumerate(copy.entries[1:], 2):
        record.apply(index, line)
    restored.restore(base64.b85decode(WHOLE))
    assert record.state == restored.state and not record.undecodable_entries
    assert list(restored.state.permits) == ["b/m1"] and restored.state.lost == {"m2": "a"}


def test_a_state_file_of_windows_is_read():
    magic = b"whinpier bank state 1\n"
    found = [note for _, note in read_records("state", magic + base64.b85decode(STATE), magic)]
    assert found == [[["window", 12345, 1700000000, 0], [5, 9, 2], 3], [["begun"], [1700000000], 4]]
