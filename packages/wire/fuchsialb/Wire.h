#pragma once

/// \file
/// Encoding and authentication of messages between daemons.

#include "src/Wire/Envelope.h"
#include "src/Wire/PeerMessageCodec.h"
#include "src/Wire/Protocol.h"
#include "src/Wire/WireLimits.h"
