#include "fuchsialb/Wire.h"

#include <cstdint>
#include <cstdlib>
#include <string_view>

// Feeds arbitrary bytes to the decoder. What it accepts must encode to bytes that decode to the same message.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace fuchsialb;
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    static_cast<void>(open({ "fleet", "key", "" }, HostId("b"), bytes));
    const absl::StatusOr<PeerMessage> message = decodePeerMessage(bytes);
    if (!message.ok())
        return 0;
    const std::string encoded = encodePeerMessage(*message);
    const absl::StatusOr<PeerMessage> again = decodePeerMessage(encoded);
    if (!again.ok() || encodePeerMessage(*again) != encoded)
        std::abort();
    return 0;
}
