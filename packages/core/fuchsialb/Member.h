#pragma once

/// \file
/// Membership between daemons and ownership by rendezvous hashing.

#include "src/Member/Membership.h"
