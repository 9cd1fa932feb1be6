#pragma once

#include "fuchsialb/Base.h"

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <map>

namespace fuchsialb::internal {

/// \brief Recognises messages that were received before, by sender, incarnation and sequence number.
///
/// For each sender the last `windowSize` sequence numbers are remembered; older ones count as received. The number of
/// senders is bounded; the one heard from least recently is forgotten first.
class ReplayWindow {
public:
    static constexpr std::size_t windowSize = 1024;

    /// \param maxSenders At least 1.
    explicit ReplayWindow(std::size_t maxSenders)
        : m_maxSenders(maxSenders)
    {
    }

    /// \return True the first time for each message of the sender's highest incarnation so far.
    bool accept(const HostId& sender, Incarnation incarnation, std::uint64_t sequence);

private:
    struct Sender {
        Incarnation incarnation;
        std::uint64_t highest = 0;
        /// Bit n stands for the sequence number `highest - n`.
        std::bitset<windowSize> seen;
        std::uint64_t lastUse = 0;
    };

    Sender& senderFor(const HostId& id, Incarnation incarnation, std::uint64_t sequence);

    std::size_t m_maxSenders;
    std::uint64_t m_uses = 0;
    std::map<HostId, Sender> m_senders;
};

} // namespace fuchsialb::internal
