#include "fuchsialb/src/Net/RequestParser.h"

#include <cstdlib>
#include <vector>

using namespace fuchsialb;
using internal::RequestParser;

namespace {

constexpr std::size_t maxHead = 512;
constexpr std::size_t maxBody = 1024;
// Names and values are at least one byte each; strings, and the room that a list of them grows by, take the rest.
constexpr std::size_t maxFootprint = 4096 + 2 * maxHead * sizeof(HttpHeaders::value_type) + 4 * maxHead + maxBody;

void check(bool holds)
{
    if (!holds)
        std::abort();
}

struct Reading {
    std::vector<ServerRequest> requests {};
    std::uint32_t failure = 0;
};

/// Reads all requests of a connection, whose bytes come in pieces of one size.
Reading read(std::string_view bytes, std::size_t pieceSize)
{
    RequestLimits limits;
    limits.maxHead = Bytes(maxHead);
    limits.maxBody = Bytes(maxBody);
    RequestParser parser;
    Reading outcome;
    while (!bytes.empty()) {
        std::string_view piece = bytes.substr(0, pieceSize);
        const std::size_t count = parser.feed(piece, limits);
        check(count <= piece.size());
        check(parser.footprint() <= maxFootprint);
        bytes.remove_prefix(count);
        if (parser.state() == RequestParser::State::Failed) {
            outcome.failure = parser.failure();
            return outcome;
        }
        if (parser.state() != RequestParser::State::Complete) {
            check(count == piece.size());
            continue;
        }
        check(parser.request().body.size() <= maxBody);
        outcome.requests.push_back(std::move(parser.request()));
        if (!parser.keepsAlive())
            return outcome;
        parser.reset();
    }
    return outcome;
}

} // namespace

// The requests that a connection carries must not depend on how its bytes are divided, and never exceed the limits.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size == 0)
        return 0;
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    const Reading whole = read(bytes, size);
    const Reading pieces = read(bytes, 1 + data[0] % 7);
    // A request with several faults may be refused for another one.
    check((whole.failure == 0) == (pieces.failure == 0));
    check(whole.requests.size() == pieces.requests.size());
    for (std::size_t i = 0; i < whole.requests.size(); ++i) {
        check(whole.requests[i].target == pieces.requests[i].target);
        check(whole.requests[i].headers == pieces.requests[i].headers);
        check(whole.requests[i].body == pieces.requests[i].body);
    }
    return 0;
}
