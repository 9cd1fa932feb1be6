#pragma once

/// \file
/// Input and output shared by the binaries: clock, logger, rings, signal masks, HTTP client and server, and peer
/// transport.

#include "src/Net/HttpClient.h"
#include "src/Net/HttpServer.h"
#include "src/Net/Logger.h"
#include "src/Net/PeerTransport.h"
#include "src/Net/Ring.h"
#include "src/Net/ScopedSignalMask.h"
#include "src/Net/SocketAddress.h"
#include "src/Net/SystemClock.h"
