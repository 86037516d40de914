"""Tests that start several processes of the program and inject faults between them."""
