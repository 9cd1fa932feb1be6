#pragma once

/// \file
/// Clients of model engines and plain services: actions of the core go in, events come out.

#include "src/Endpoint/EndpointClient.h"
#include "src/Endpoint/EventStreamReader.h"
