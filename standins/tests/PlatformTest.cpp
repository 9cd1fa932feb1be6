#include "fuchsialb/Standins.h"
#include "support/Http.h"

using namespace fuchsialb;
using namespace fuchsialb::standins;
using namespace fuchsialb::standins::test;

// Guards against trials that pass because the stand-in is kinder than the platform it stands for.
TEST_CASE("The platform stand-in keeps the rules of the key-value service")
{
    const auto client = *HttpClient::create({});
    const auto platform = *Platform::create({});
    const std::uint16_t port = platform->port();
    const auto status = [&](std::string method, const std::string& path, std::string body = {}) {
        const auto response = http(*client, std::move(method), port, path, std::move(body));
        return response ? response->status : 0;
    };
    const auto versionOf = [&](const std::string& key) {
        const auto response = http(*client, "GET", port, "/v1/kv/" + key);
        for (const auto& [name, value] : response->headers) {
            if (name == "version")
                return value;
        }
        return std::string();
    };

    SECTION("compare-and-swap lets one of two writers win")
    {
        CHECK(status("PUT", "/v1/kv/a/b?expect=0", "one") == 200);
        CHECK(status("PUT", "/v1/kv/a/b?expect=0", "two") == 409);
        CHECK(versionOf("a/b") == "1");
        CHECK(status("PUT", "/v1/kv/a/b?expect=1", "two") == 200);
        CHECK(http(*client, "GET", port, "/v1/kv/a/b")->body == "two");
        CHECK(status("DELETE", "/v1/kv/a/b?expect=1") == 409);
        CHECK(status("DELETE", "/v1/kv/a/b?expect=2") == 200);
        CHECK(status("GET", "/v1/kv/a/b") == 404);
        CHECK(status("PUT", "/v1/kv/a/b?expect=0", "three") == 200);
        CHECK(versionOf("a/b") == "3");
        CHECK(read(*client, port, "/v1/list?prefix=a/")["keys"][0]["key"] == "a/b");
        CHECK(read(*client, port, "/v1/stats")["calls"]["PUT /v1/kv"] == 4);
    }

    SECTION("a watch waits for the next change of its prefix")
    {
        CHECK(status("PUT", "/v1/kv/a/1", "x") == 200);
        HttpRequest watch;
        watch.url = "http://" + local(port) + "/v1/watch?prefix=a/&after=1&wait_ms=10000";
        auto answer = startHttp(*client, watch);
        CHECK(status("PUT", "/v1/kv/b/1", "x") == 200);
        CHECK(status("PUT", "/v1/kv/a/2", "x") == 200);
        const Json changes = parseObject(await(std::move(answer))->body);
        REQUIRE(changes["changes"].size() == 1);
        CHECK(changes["changes"][0]["key"] == "a/2");
        CHECK(changes["revision"] == 3);
        CHECK(read(*client, port, "/v1/watch?prefix=a/&after=3&wait_ms=1")["changes"].empty());
    }

    SECTION("the keys of a lease that is not renewed are deleted")
    {
        const Json lease = post(*client, port, "/v1/leases?ttl_ms=60000", {});
        const std::string id = lease["lease"].dump();
        CHECK(post(*client, port, "/v1/leases/" + id + "/renew", {})["status"] == 200);
        CHECK(post(*client, port, "/v1/leases/99/renew", {})["status"] == 404);
        CHECK(status("PUT", "/v1/kv/kept?lease=" + id, "x") == 200);
        CHECK(status("PUT", "/v1/kv/refused?lease=99", "x") == 409);
        const Json brief = post(*client, port, "/v1/leases?ttl_ms=100", {});
        CHECK(status("PUT", "/v1/kv/brief?lease=" + brief["lease"].dump(), "x") == 200);
        const Json change = read(*client, port, "/v1/watch?prefix=brief&after=2&wait_ms=10000");
        CHECK(change["changes"][0]["version"] == 0);
        CHECK(status("GET", "/v1/kv/kept") == 200);
    }

    SECTION("a lost answer takes effect and then breaks the connection")
    {
        post(*client, port, "/v1/faults", { { "lose_answers", 1.0 } });
        CHECK(status("PUT", "/v1/kv/a?expect=0", "x") == 0);
        post(*client, port, "/v1/faults", Json::object());
        CHECK(versionOf("a") == "1");
    }

    SECTION("an outage breaks connections, also those of watches, without an effect")
    {
        HttpRequest watch;
        watch.url = "http://" + local(port) + "/v1/watch?prefix=a&after=0&wait_ms=10000";
        auto answer = startHttp(*client, watch);
        REQUIRE(eventually([&] { return read(*client, port, "/v1/stats")["watching"] == 1; }));
        post(*client, port, "/v1/faults", { { "outage", true } });
        CHECK_FALSE(await(std::move(answer)));
        CHECK(status("PUT", "/v1/kv/a", "x") == 0);
        post(*client, port, "/v1/faults", Json::object());
        CHECK(status("GET", "/v1/kv/a") == 404);
    }

    SECTION("the host list can be set")
    {
        CHECK(status("PUT", "/v1/hosts", R"([{"host":"h1"}])") == 200);
        CHECK(eventually([&] { return http(*client, "GET", port, "/v1/hosts")->body == R"([{"host":"h1"}])"; }));
    }
}
