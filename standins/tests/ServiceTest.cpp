#include "fuchsialb/Standins.h"
#include "support/Http.h"

using namespace fuchsialb;
using namespace fuchsialb::standins;
using namespace fuchsialb::standins::test;

// Guards against a check of at-most-once execution that reads a wrong record.
TEST_CASE("The service stand-in records exactly the calls that ran")
{
    const auto client = *HttpClient::create({});
    Service::Options options;
    options.deduplicates = GENERATE(false, true);
    const auto service = *Service::create(options);
    const std::uint16_t port = service->port();
    const auto call = [&](const std::string& key) {
        const auto response = http(*client, "POST", port, "/pay?x=1", "body", { { "Idempotency-Key", key } });
        return response ? response->status : 0;
    };
    const auto recorded = [&] { return read(*client, port, "/v1/record")["calls"]; };

    SECTION("a call is recorded, and a repeated one is rejected by a service that deduplicates")
    {
        CHECK(call("k1") == 200);
        CHECK(call("k1") == (options.deduplicates ? 409 : 200));
        const Json calls = recorded();
        CHECK(calls.size() == (options.deduplicates ? 1 : 2));
        CHECK(calls[0]["method"] == "POST");
        CHECK(calls[0]["path"] == "/pay");
        CHECK(calls[0]["idempotency_key"] == "k1");
    }
    SECTION("a failure before running leaves no record")
    {
        post(*client, port, "/v1/faults", { { "fail_before", 1.0 } });
        CHECK(call("k1") == 503);
        CHECK(recorded().empty());
    }
    SECTION("a dropped answer leaves a record")
    {
        post(*client, port, "/v1/faults", { { "drop_answer", 1.0 } });
        CHECK(call("k1") == 0);
        CHECK(recorded().size() == 1);
    }
    SECTION("a call during a hang gets no answer and has not run")
    {
        post(*client, port, "/v1/faults", { { "hang", true } });
        HttpRequest request = jsonPost(local(port), "/pay", {});
        request.silenceTimeout = std::chrono::milliseconds(100);
        CHECK_FALSE(await(startHttp(*client, request)));
        CHECK(recorded().empty());
    }
}
