#pragma once

#include "Common/Append.h"
#include "Common/Backoff.h"
#include "Common/BoundedJson.h"
#include "Common/Clock.h"
#include "Common/Hash.h"
#include "Common/HostAddress.h"
#include "Common/Ids.h"
#include "Common/Invariant.h"
#include "Common/Log.h"
#include "Common/Mailbox.h"
#include "Common/Metrics.h"
#include "Common/NameTable.h"
#include "Common/Outcome.h"
#include "Common/ReportedKeys.h"
#include "Common/SettingsFile.h"
#include "Common/TimerThread.h"

/// Public header of the common library: clocks, identifiers, outcomes, logs, metrics and settings
/// files, used by every other library.
