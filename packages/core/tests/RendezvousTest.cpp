#include "fuchsialb/Member.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace fuchsialb;

// Guards against an ownership rule that moves keys between hosts that stayed, or that loads hosts unevenly.
TEST_CASE("Rendezvous hashing gives each key to one host")
{
    std::vector<HostId> hosts;
    for (int i = 0; i < 40; ++i)
        hosts.emplace_back("host-" + std::to_string(i));
    constexpr int keys = 4000;
    const auto owner = [](int key, const std::vector<HostId>& among) {
        return rendezvous("key-" + std::to_string(key), among, 1).at(0);
    };
    std::map<HostId, int> owned;
    for (int key = 0; key < keys; ++key)
        ++owned[owner(key, hosts)];

    SECTION("losing one host moves only its keys, to their second choice")
    {
        std::vector<HostId> rest(hosts.begin() + 1, hosts.end());
        for (int key = 0; key < keys; ++key) {
            const std::string name = "key-" + std::to_string(key);
            const HostId before = owner(key, hosts);
            const HostId expected = before == hosts.front() ? rendezvous(name, hosts, 2).at(1) : before;
            CHECK(owner(key, rest) == expected);
        }
    }

    SECTION("keys are spread over all hosts, none with over twice its share")
    {
        CHECK(owned.size() == hosts.size());
        for (const auto& [host, count] : owned)
            CHECK(count < 2 * keys / 40);
    }

    SECTION("the order of the hosts doesn't matter, and no more hosts come out than go in")
    {
        const std::vector<HostId> reversed(hosts.rbegin(), hosts.rend());
        CHECK(rendezvous("watch", hosts, 5) == rendezvous("watch", reversed, 5));
        CHECK(rendezvous("watch", hosts, 99).size() == hosts.size());
        CHECK(rendezvous("watch", {}, 2).empty());
    }
}
