#pragma once

#include <string>

namespace fuchsialb {

/// \return An inventory of one endpoint in group "g".
inline std::string sampleInventory(const std::string& address, const std::string& state)
{
    return "id,kind,data_centre,group,target,address,layers,accelerator,accelerators,link,max_concurrency,fencing,"
           "deduplicates,state\ne1,endpoint,dc-1,g,s,"
        + address + ",,,,,4,no,no," + state + "\n";
}

inline const std::string sampleRules = "targets:\n  s: {kind: service, idempotent: no}\n";

} // namespace fuchsialb
