// SPDX-License-Identifier: MIT
// Entry of the unit tests.
#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <cstdlib>
#include <sodium.h>

int main(int argc, char **argv)
{
    if (sodium_init() < 0) {
        return 1;
    }
    // Property tests use the same cases on every run; RC_PARAMS from outside tries others.
    ::setenv("RC_PARAMS", "seed=20261202 max_success=2000 max_size=60", 0);
    doctest::Context context(argc, argv);
    return context.run();
}
