"""The append-only log: what is read back, what a torn tail leaves, and what is refused."""

import fcntl
import os
import struct
import zlib

import pytest

from whinpier.config.model import ConfigFault
from whinpier.storage import append_log
from whinpier.storage.append_log import AppendLog, AppendLogError, encode_record, read_records

MAGIC = b"log of a test 1\n"
VALUES = [["first", 1], ["second", b"\x00\x01"], ["third", None]]


@pytest.fixture
def path(tmp_path):
    return tmp_path / "log"


@pytest.fixture
def whole():
    """The bytes of a log with all of VALUES."""
    return MAGIC + b"".join(map(encode_record, VALUES))


@pytest.fixture
def ends():
    """The offsets at which the records of `whole` end."""
    found = [len(MAGIC)]
    for value in VALUES:
        found.append(found[-1] + len(encode_record(value)))
    return found[1:]


def read_log(path):
    """Open a log, close it, and return its records with the closed log."""
    log = AppendLog(str(path), MAGIC)
    values = log.open()
    log.close()
    return values, log


def test_a_record_is_its_length_its_checksum_and_its_body():
    body = b"\x92\xa1a\x01"
    assert encode_record(["a", 1]) == struct.pack("!II", len(body), zlib.crc32(body)) + body


def test_a_new_log_holds_its_magic_alone(path):
    values, log = read_log(path)
    assert values == []
    assert path.read_bytes() == MAGIC
    assert (log.size, log.torn_bytes) == (len(MAGIC), 0)


def test_the_log_and_its_lock_are_private(path):
    read_log(path)
    assert path.stat().st_mode & 0o777 == 0o600
    assert (path.parent / "log.lock").stat().st_mode & 0o777 == 0o600


def test_appended_records_are_read_back_in_order(path, whole):
    log = AppendLog(str(path), MAGIC)
    log.open()
    log.append(encode_record(VALUES[0]))
    log.append(encode_record(VALUES[1]) + encode_record(VALUES[2]))
    assert log.size == len(whole)
    log.close()
    assert path.read_bytes() == whole
    assert read_log(path)[0] == VALUES


def test_each_record_is_read_with_the_offset_of_its_end(whole, ends):
    assert list(read_records("log", whole, MAGIC)) == list(zip(ends, VALUES, strict=True))


def test_cut_at_any_byte_the_records_before_the_cut_are_read_and_appended_to(path, whole, ends):
    for cut in range(len(whole) + 1):
        path.write_bytes(whole[:cut])
        log = AppendLog(str(path), MAGIC)
        values = log.open()
        intact = sum(end <= cut for end in ends)
        size = max([len(MAGIC), *(end for end in ends if end <= cut)])
        assert values == VALUES[:intact], cut
        assert log.size == size
        assert log.torn_bytes == max(0, cut - size)
        assert path.read_bytes() == whole[:size]
        log.append(encode_record("next"))
        log.close()
        assert read_log(path)[0] == [*VALUES[:intact], "next"]


@pytest.mark.parametrize("zeros", [1, 7, 8, 9, 300, 10_000])
def test_a_tail_of_zeros_is_torn(path, whole, zeros):
    path.write_bytes(whole + bytes(zeros))
    values, log = read_log(path)
    assert values == VALUES
    assert (log.size, log.torn_bytes) == (len(whole), zeros)
    assert path.read_bytes() == whole


def test_a_last_record_with_a_wrong_checksum_is_torn(path, whole, ends):
    path.write_bytes(whole[:-1] + bytes([whole[-1] ^ 1]))
    values, log = read_log(path)
    assert values == VALUES[:-1]
    assert log.torn_bytes == len(whole) - ends[-2]


def test_a_changed_byte_is_never_read_as_another_record(whole):
    intact = list(read_records("log", whole, MAGIC))
    refused = 0
    for offset in range(len(whole)):
        changed = bytearray(whole)
        changed[offset] ^= 0x41
        try:
            found = list(read_records("log", bytes(changed), MAGIC))
        except AppendLogError:
            refused += 1
            continue
        assert found == intact[: len(found)]
        assert len(found) < len(intact)
    assert refused >= len(MAGIC)


def test_a_changed_record_before_others_refuses_the_log_and_leaves_it_as_it_is(path, whole, ends):
    changed = bytearray(whole)
    changed[ends[0] - 1] ^= 1
    path.write_bytes(changed)
    with pytest.raises(AppendLogError) as caught:
        AppendLog(str(path), MAGIC).open()
    assert str(caught.value) == (
        f"{path}: is damaged at byte {len(MAGIC)} of {len(whole)}, with more behind it; what it "
        "says after it would be forgotten, and could be done twice: move it away to begin without"
    )
    assert path.read_bytes() == changed


def test_a_record_longer_than_the_bound_refuses_the_log(whole):
    longest = max(len(encode_record(value)) for value in VALUES) - append_log.HEADER.size
    assert len(list(read_records("log", whole, MAGIC, longest))) == len(VALUES)
    with pytest.raises(AppendLogError, match="is damaged at byte"):
        list(read_records("log", whole, MAGIC, longest - 1))


def test_a_length_over_the_bound_that_points_behind_the_end_is_no_torn_tail(whole):
    header = append_log.HEADER.pack(append_log.MAX_RECORD_BYTES + 1, 0)
    with pytest.raises(AppendLogError, match=f"is damaged at byte {len(whole)} of"):
        list(read_records("log", whole + header, MAGIC))


def test_a_body_that_cannot_be_decoded_refuses_the_log(whole):
    body = b"\xc1"  # no type of MessagePack
    record = append_log.HEADER.pack(len(body), zlib.crc32(body)) + body
    with pytest.raises(AppendLogError, match=f"^log: byte {len(whole)}: "):
        list(read_records("log", whole + record, MAGIC))


def test_a_file_with_another_magic_is_refused_and_left_as_it_is(path):
    path.write_bytes(b"something else altogether")
    with pytest.raises(AppendLogError) as caught:
        AppendLog(str(path), MAGIC).open()
    assert caught.value.path == str(path)
    assert caught.value.reason == (
        "is no state file of this version; move it away to begin without"
    )
    assert path.read_bytes() == b"something else altogether"


def test_a_log_belongs_to_whoever_opened_it_until_it_is_closed(path):
    first = AppendLog(str(path), MAGIC)
    first.open()
    with pytest.raises(AppendLogError, match="another process has it"):
        AppendLog(str(path), MAGIC).open()
    first.compact(VALUES)  # the lock outlives the file that it guards
    with pytest.raises(AppendLogError, match="another process has it"):
        AppendLog(str(path), MAGIC).open()
    first.close()
    first.close()
    assert read_log(path)[0] == VALUES


def test_a_refused_log_is_unlocked(path):
    path.write_bytes(b"something else altogether")
    with pytest.raises(AppendLogError):
        AppendLog(str(path), MAGIC).open()
    with open(f"{path}.lock", "rb") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)


def test_a_folder_that_is_missing_is_a_fault_of_the_configuration(path):
    with pytest.raises(ConfigFault, match="No such file or directory"):
        AppendLog(str(path / "log"), MAGIC).open()


def test_compaction_leaves_only_the_given_records_and_appends_go_behind_them(path):
    log = AppendLog(str(path), MAGIC)
    log.open()
    log.append(b"".join(map(encode_record, VALUES)))
    log.compact(VALUES[1:2])
    assert path.read_bytes() == MAGIC + encode_record(VALUES[1])
    assert log.size == path.stat().st_size
    log.append(encode_record(VALUES[2]))
    log.close()
    assert read_log(path)[0] == VALUES[1:]
    assert not (path.parent / "log.new").exists()


def test_a_failed_append_leaves_what_was_there_and_the_next_one_succeeds(path, monkeypatch):
    log = AppendLog(str(path), MAGIC)
    log.open()
    log.append(encode_record(VALUES[0]))
    size = log.size
    write = os.pwrite

    def write_in_part(file, data, offset):
        write(file, data[:5], offset)
        raise OSError(28, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(os, "pwrite", write_in_part)
        with pytest.raises(OSError, match="No space"):
            log.append(encode_record(VALUES[1]))
    assert log.size == size == path.stat().st_size
    log.append(encode_record(VALUES[2]))
    log.close()
    assert read_log(path)[0] == [VALUES[0], VALUES[2]]


def test_a_failed_compaction_leaves_the_log_in_use(path, monkeypatch):
    log = AppendLog(str(path), MAGIC)
    log.open()
    log.append(encode_record(VALUES[0]))

    def fail(*_):
        raise OSError(28, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(os, "pwrite", fail)
        with pytest.raises(OSError, match="No space"):
            log.compact(VALUES)
    log.append(encode_record(VALUES[1]))
    log.close()
    assert read_log(path)[0] == VALUES[:2]


def test_a_write_in_several_parts_is_completed(path, monkeypatch, whole):
    write = os.pwrite
    monkeypatch.setattr(os, "pwrite", lambda file, data, offset: write(file, data[:3], offset))
    log = AppendLog(str(path), MAGIC)
    log.open()
    log.append(b"".join(map(encode_record, VALUES)))
    log.close()
    assert path.read_bytes() == whole


def test_data_is_synced_after_it_is_written_and_before_append_returns(path, monkeypatch):
    log = AppendLog(str(path), MAGIC)
    log.open()
    calls = []
    write = os.pwrite
    sync = os.fdatasync

    def recorded_write(file, data, offset):
        calls.append("write")
        return write(file, data, offset)

    def recorded_sync(file):
        calls.append("sync")
        sync(file)

    monkeypatch.setattr(os, "pwrite", recorded_write)
    monkeypatch.setattr(os, "fdatasync", recorded_sync)
    log.append(encode_record(VALUES[0]))
    assert calls == ["write", "sync"]
    log.close()


def test_a_compacted_file_is_synced_before_it_replaces_the_log_and_its_name_after(
    path, monkeypatch
):
    log = AppendLog(str(path), MAGIC)
    log.open()
    calls = []

    def record_calls(name):
        call = getattr(os, name)

        def recorded(*arguments):
            calls.append(name)
            return call(*arguments)

        monkeypatch.setattr(os, name, recorded)

    for name in ("pwrite", "fdatasync", "replace", "fsync"):
        record_calls(name)
    log.compact(VALUES)
    assert calls == ["pwrite", "fdatasync", "replace", "fsync"]
    log.close()
