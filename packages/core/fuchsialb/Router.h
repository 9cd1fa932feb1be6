#pragma once

/// \file
/// Joins the modules of the core: typed events go in, typed actions come out.

#include "src/Router/Action.h"
#include "src/Router/Event.h"
#include "src/Router/Message.h"
#include "src/Router/Request.h"
#include "src/Router/Router.h"
