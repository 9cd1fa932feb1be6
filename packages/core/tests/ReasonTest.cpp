#include "fuchsialb/Base.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace fuchsialb;

// Guards against an error that loses its type on the way through absl::Status.
TEST_CASE("A failure keeps its typed reason")
{
    GIVEN("an error built from a reason")
    {
        const absl::Status status = error(Reason::QueueFull, "backlog of organisation a is 100 of 100 requests");

        THEN("the reason, the code and the detail can be read back")
        {
            CHECK(reasonOf(status) == Reason::QueueFull);
            CHECK(status.code() == absl::StatusCode::kResourceExhausted);
            CHECK(reasonName(reasonOf(status)) == "queue-full");
            CHECK(status.message() == "backlog of organisation a is 100 of 100 requests");
        }
    }

    GIVEN("a status of another library")
    {
        CHECK(reasonOf(absl::UnknownError("no payload")) == Reason::Internal);
        CHECK(reasonOf(absl::OkStatus()) == Reason::Ok);
    }
}
