#!/usr/bin/env bash
# Installs the Debian packages that the build needs if any of them is missing.
packages="g++ cmake ninja-build ccache curl libasio-dev
libcereal-dev libboost1.81-dev libpopt-dev libeasyloggingpp-dev doctest-dev
librapidcheck-dev libinih-dev nlohmann-json3-dev libssl-dev clang-format
clang-tidy"
# shellcheck disable=SC2086
if ! dpkg -s $packages >/dev/null 2>&1; then
  # shellcheck disable=SC2086
  apt-get update -q >/dev/null && apt-get install -y -q $packages >/dev/null
fi
