"""Experiments: the product's decisions over a model of targets, compared under the users' loads."""
