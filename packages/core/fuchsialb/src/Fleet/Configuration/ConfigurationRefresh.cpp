#include "ConfigurationRefresh.h"

namespace fuchsialb {

namespace {

    // A host that hears of a newer configuration reads a copy that may be outdated, and after this time the newest one.
    constexpr Duration staleReadTime = std::chrono::milliseconds(250);
    constexpr Duration retryDelay = std::chrono::milliseconds(1000);

} // namespace

ConfigurationRead ConfigurationRefresh::next(
    const ConfigurationInForce& configuration, ConfigurationVersion heard, Duration maxAge, Duration now)
{
    if (m_isReading || !configuration.known())
        return ConfigurationRead::None;
    const ConfigurationRead read = choose(configuration, heard, maxAge, now);
    m_isReading = read != ConfigurationRead::None;
    return read;
}

ConfigurationRead ConfigurationRefresh::choose(
    const ConfigurationInForce& configuration, ConfigurationVersion heard, Duration maxAge, Duration now)
{
    const bool mayReadNewest = now >= m_nextNewestAt;
    if (now - configuration.provenAt() >= maxAge && mayReadNewest)
        return ConfigurationRead::Newest;
    if (heard <= configuration.version())
        return ConfigurationRead::None;
    if (heard > m_versionSought) {
        m_versionSought = heard;
        m_soughtAt = now;
        return ConfigurationRead::MayBeStale;
    }
    return mayReadNewest && now - m_soughtAt >= staleReadTime ? ConfigurationRead::Newest : ConfigurationRead::None;
}

void ConfigurationRefresh::recordEnd(ConfigurationRead read, Duration now)
{
    m_isReading = false;
    if (read == ConfigurationRead::Newest)
        m_nextNewestAt = now + retryDelay;
}

} // namespace fuchsialb
