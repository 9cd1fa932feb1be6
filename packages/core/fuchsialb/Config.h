#pragma once

/// \file
/// What operators supply: inventory and rules, checked, compared and encoded.

#include "src/Config/Configuration.h"
#include "src/Config/ConfigurationBuilder.h"
#include "src/Config/ConfigurationCheck.h"
#include "src/Config/ConfigurationCodec.h"
#include "src/Config/ConfigurationDiff.h"
#include "src/Config/InputError.h"
#include "src/Config/Inventory.h"
#include "src/Config/InventoryParser.h"
#include "src/Config/Rules.h"
#include "src/Config/RulesParser.h"
#include "src/Config/UnitText.h"
