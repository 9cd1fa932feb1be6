#pragma once

/// \file
/// Encoding and authentication of messages between daemons.

#include "src/Wire/Protocol.h"
