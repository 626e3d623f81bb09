"""HTTP/1.1 connections on which a request is sent exactly once."""
