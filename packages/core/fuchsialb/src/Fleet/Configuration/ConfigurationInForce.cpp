#include "ConfigurationInForce.h"

#include <algorithm>
#include <utility>

namespace fuchsialb {

bool ConfigurationInForce::accept(std::shared_ptr<const RoutingTable> table, Duration provenAt)
{
    if (m_table && table->version <= m_table->version) {
        confirm(table->version, provenAt);
        return false;
    }
    m_table = std::move(table);
    // A proof of an older version holds for this one too, since versions only rise.
    m_provenAt = std::max(m_provenAt, provenAt);
    return true;
}

void ConfigurationInForce::confirm(ConfigurationVersion version, Duration provenAt)
{
    if (m_table && version == m_table->version)
        m_provenAt = std::max(m_provenAt, provenAt);
}

bool ConfigurationInForce::keysTrusted(Duration now) const
{
    return m_table && (m_keyTrust == Duration::zero() || now - m_provenAt < m_keyTrust);
}

} // namespace fuchsialb
