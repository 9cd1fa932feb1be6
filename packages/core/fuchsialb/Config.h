#pragma once

/// \file
/// What operators supply: inventory and rules, checked, compared and encoded.

#include "src/Config/Configuration.h"
#include "src/Config/ConfigurationCheck.h"
#include "src/Config/ConfigurationCodec.h"
