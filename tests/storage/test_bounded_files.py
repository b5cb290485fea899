"""Reads within bounds: what is returned, and which files are refused."""

import os

import pytest

from whinpier.storage.bounded_files import UnsuitableFileError, read_bounded


def test_a_file_of_the_bound_is_read_and_a_larger_one_refused(tmp_path):
    path = tmp_path / "file"
    path.write_bytes(b"12345")
    assert read_bounded(str(path), 5) == b"12345"
    with pytest.raises(UnsuitableFileError, match="is larger than 4 bytes"):
        read_bounded(str(path), 4)


def test_a_pipe_is_refused_without_waiting_for_its_writer(tmp_path):
    path = tmp_path / "pipe"
    os.mkfifo(path)
    with pytest.raises(UnsuitableFileError, match="is no plain file"):
        read_bounded(str(path))


def test_a_device_without_an_end_is_refused():
    with pytest.raises(UnsuitableFileError, match="is no plain file"):
        read_bounded("/dev/zero")


@pytest.mark.parametrize("mode", [0o640, 0o604, 0o610, 0o601, 0o666])
def test_a_private_file_that_others_have_access_to_is_refused(tmp_path, mode):
    path = tmp_path / "secret"
    path.write_bytes(b"secret")
    path.chmod(mode)
    assert read_bounded(str(path)) == b"secret"
    with pytest.raises(UnsuitableFileError) as caught:
        read_bounded(str(path), private=True)
    assert str(caught.value) == f"may be read by others (mode {mode:o}, not 600)"


@pytest.mark.parametrize("mode", [0o600, 0o400])
def test_a_private_file_of_its_owner_alone_is_read(tmp_path, mode):
    path = tmp_path / "secret"
    path.write_bytes(b"secret")
    path.chmod(mode)
    assert read_bounded(str(path), private=True) == b"secret"


def test_a_missing_file_raises_an_error_of_the_system(tmp_path):
    with pytest.raises(FileNotFoundError):
        read_bounded(str(tmp_path / "missing"))
