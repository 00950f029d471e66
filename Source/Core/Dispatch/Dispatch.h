#pragma once

#include "Dispatch/Effects.h"

/// Public header of the dispatch library: every decision of a gateway as free functions over plain
/// structs, without network, clock or thread.
