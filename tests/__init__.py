"""Tests of bronzebeam."""
