"""Admission of requests to engines, their dispatch, retries and results."""
