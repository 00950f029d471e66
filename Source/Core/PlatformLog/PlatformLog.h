#pragma once

#include "PlatformLog/LogClient.h"

/// Public header of the platformlog library: the client of the platform's append-only log service.
