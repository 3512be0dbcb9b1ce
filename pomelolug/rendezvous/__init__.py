"""Rendezvous hashing: choice of nodes for a key."""

from pomelolug.rendezvous._rendezvous import rendezvous

__all__ = ["rendezvous"]
