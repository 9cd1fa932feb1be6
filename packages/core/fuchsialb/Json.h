#pragma once

/// \file
/// JSON texts of other parties, read within a limit of memory.

#include "src/Json/BoundedJson.h"
