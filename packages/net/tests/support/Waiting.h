#pragma once

#include <catch2/catch.hpp>

#include <chrono>
#include <future>

namespace fuchsialb::test {

// Bounds how long a broken test hangs; a passing test never waits this long.
inline constexpr std::chrono::seconds patience { 10 };

/// \return The value of the future; fails the test when it does not come.
template <typename T> T await(std::future<T>& future)
{
    REQUIRE(future.wait_for(patience) == std::future_status::ready);
    return future.get();
}

} // namespace fuchsialb::test
