"""Tests of cranberrycleat."""
