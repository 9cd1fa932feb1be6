#include "Envelope.h"

#include "Protocol.h"
#include "WireLimits.h"

#include <peer.pb.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <fmt/format.h>

#include <array>
#include <limits>

namespace fuchsialb {

namespace {

    constexpr std::size_t macBytes = 32;
    constexpr unsigned bitsPerByte = 8;

    template <typename Number> void append(std::string& to, Number value)
    {
        for (std::size_t i = 0; i < sizeof(Number); ++i)
            to.push_back(static_cast<char>((value >> (i * bitsPerByte)) & 0xff));
    }

    void appendText(std::string& to, std::string_view text)
    {
        append(to, static_cast<std::uint64_t>(text.size()));
        to.append(text);
    }

    std::string authenticatedBytes(const wire::Envelope& envelope)
    {
        std::string bytes;
        append(bytes, envelope.protocol());
        append(bytes, std::uint64_t { envelope.incarnation() });
        append(bytes, std::uint64_t { envelope.sequence() });
        appendText(bytes, envelope.fleet());
        appendText(bytes, envelope.sender());
        appendText(bytes, envelope.receiver());
        appendText(bytes, envelope.body());
        return bytes;
    }

    std::string macOf(const std::string& key, const std::string& bytes)
    {
        std::array<unsigned char, macBytes> mac {};
        unsigned length = 0;
        HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
            reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), mac.data(), &length);
        return { mac.begin(), mac.end() };
    }

    bool isSignedWith(const std::string& key, const std::string& bytes, const std::string& mac)
    {
        // An unset key signs nothing, or anyone could sign with it.
        if (key.empty())
            return false;
        const std::string expected = macOf(key, bytes);
        return mac.size() == expected.size() && CRYPTO_memcmp(mac.data(), expected.data(), expected.size()) == 0;
    }

    absl::Status authenticate(const EnvelopeKeys& keys, const HostId& self, const wire::Envelope& envelope)
    {
        if (envelope.fleet() != keys.fleet)
            return error(Reason::WrongFleet, fmt::format("message of another fleet, expected '{}'", keys.fleet));
        if (envelope.protocol() != protocolVersion) {
            return error(Reason::WrongProtocol,
                fmt::format("message of protocol {}, expected {}", envelope.protocol(), protocolVersion));
        }
        const std::string bytes = authenticatedBytes(envelope);
        if (!isSignedWith(keys.currentKey, bytes, envelope.mac())
            && !isSignedWith(keys.previousKey, bytes, envelope.mac()))
            return error(Reason::WrongKey, "message is signed with neither the current nor the previous fleet key");
        if (envelope.receiver() != self.value())
            return error(Reason::MalformedMessage, "message is meant for another host");
        if (envelope.sender().empty() || envelope.sender().size() > internal::maxIdBytes)
            return error(Reason::MalformedMessage, "sender must have 1 to 255 bytes");
        return absl::OkStatus();
    }

} // namespace

std::string seal(const EnvelopeKeys& keys, const HostId& sender, const HostId& receiver, Incarnation incarnation,
    std::uint64_t sequence, const PeerMessage& message)
{
    wire::Envelope envelope;
    envelope.set_fleet(keys.fleet);
    envelope.set_protocol(protocolVersion);
    envelope.set_sender(sender.value());
    envelope.set_receiver(receiver.value());
    envelope.set_incarnation(incarnation.value());
    envelope.set_sequence(sequence);
    envelope.set_body(encodePeerMessage(message));
    envelope.set_mac(macOf(keys.currentKey, authenticatedBytes(envelope)));
    return envelope.SerializeAsString();
}

absl::StatusOr<Opened> open(const EnvelopeKeys& keys, const HostId& self, std::string_view bytes)
{
    wire::Envelope envelope;
    if (bytes.size() > static_cast<std::size_t>(std::numeric_limits<int>::max())
        || !envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return error(Reason::MalformedMessage, "message is not an envelope");
    if (absl::Status status = authenticate(keys, self, envelope); !status.ok())
        return status;
    absl::StatusOr<PeerMessage> message = decodePeerMessage(envelope.body());
    if (!message.ok())
        return message.status();
    return Opened { HostId(envelope.sender()), Incarnation(envelope.incarnation()), envelope.sequence(),
        *std::move(message) };
}

} // namespace fuchsialb
