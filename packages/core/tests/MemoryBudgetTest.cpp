#include "fuchsialb/Base.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace fuchsialb;

// Guards against holders that each stay within a limit and together take the memory of the machine.
SCENARIO("holders of memory stay within a budget together")
{
    const Bytes limit { 1'000'000 };
    const auto budget = std::make_shared<MemoryBudget>(limit);

    GIVEN("one holder")
    {
        MemoryShare share(budget);

        THEN("it may take the limit, and no more")
        {
            CHECK(share.tryResize(limit));
            CHECK_FALSE(share.tryTake(Bytes(1)));
            CHECK(share.held() == limit);
            CHECK(budget->refusals() == 1);
        }
        THEN("it may always give back")
        {
            REQUIRE(share.tryResize(limit));
            CHECK(share.tryResize(Bytes(10)));
            CHECK(budget->used() == Bytes(10));
        }
    }

    GIVEN("very many holders that take what they are allowed")
    {
        const std::int64_t step = GENERATE(1, 300, 50'000);
        std::deque<MemoryShare> shares;
        for (int i = 0; i < 500; ++i) {
            MemoryShare& share = shares.emplace_back(budget);
            while (share.held() < Bytes(100'000) && share.tryTake(Bytes(step))) { }
        }

        THEN("their sum stays below twice the limit")
        {
            CHECK(budget->used() > limit);
            CHECK(budget->used() <= limit + limit);
        }
        THEN("all of it is free when they are gone")
        {
            shares.clear();
            CHECK(budget->used() == Bytes(0));
        }
    }

    GIVEN("one that has exhausted the budget, and one that begins")
    {
        MemoryShare greedy(budget);
        REQUIRE(greedy.tryResize(limit));
        MemoryShare modest(budget);

        THEN("the one that begins goes on")
        {
            CHECK(modest.tryTake(Bytes(10'000)));
            CHECK_FALSE(greedy.tryTake(Bytes(1)));
        }
    }
}
